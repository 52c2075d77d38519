//! Faults and changes of limits.

use std::time::Duration;

use chestnuthub::deployment::Allowance;
use fastrand::Rng;

use super::{
    EXCESS,
    Gateway,
    Trouble,
    World,
    gateway, //
};

impl World {
    pub(super) fn begin(&mut self, trouble: Trouble, at_ms: u64) {
        let now = self.now;
        let picked = |rng: &mut Rng, part: f64| rng.f64() < part;
        match trouble {
            Trouble::Restart(at, part) if at * 1_000 == at_ms => {
                for number in 0..self.gateways.len() {
                    if picked(&mut self.rng, part) {
                        let known = &self.gateways[number];
                        let (hub, weight) = (known.hub, known.weight);
                        let seed = self.rng.u64(..);
                        self.hubs[hub].to_gateways.remove(&number);
                        self.gateways[number] = Gateway {
                            weight,
                            down_until: now + Duration::from_millis(500),
                            ..gateway(
                                self.rule,
                                self.allowance,
                                self.load.gateways,
                                hub,
                                now,
                                seed,
                            )
                        };
                    }
                }
            }
            Trouble::Freeze(at, part, for_ms) if at * 1_000 == at_ms => {
                for gateway in &mut self.gateways {
                    if picked(&mut self.rng, part) {
                        gateway.frozen_until = now + Duration::from_millis(for_ms);
                    }
                }
            }
            Trouble::Cut(at, part, for_s) if at * 1_000 == at_ms => {
                for number in 0..self.gateways.len() {
                    if picked(&mut self.rng, part) {
                        let gateway = &mut self.gateways[number];
                        gateway.cut_at = now;
                        gateway.cut_until = now + Duration::from_secs(for_s);
                        gateway.is_new = true;
                        self.hubs[gateway.hub].to_gateways.remove(&number);
                    }
                }
            }
            Trouble::Regions(at, for_s) if at * 1_000 == at_ms => {
                self.regions_cut_at = now;
                self.regions_cut_until = now + Duration::from_secs(for_s);
            }
            Trouble::Hubs(at) if at * 1_000 == at_ms => {
                let gone = self.hubs.len() / 2;
                for hub in &mut self.hubs[..gone] {
                    hub.is_gone = true;
                }
                let left = self.hubs.len() - gone;
                for gateway in &mut self.gateways {
                    if gateway.hub < gone {
                        gateway.hub = gone + gateway.hub % left;
                        gateway.moving_until = now + Duration::from_millis(300);
                    }
                }
            }
            Trouble::Limit(at, factor) if at * 1_000 == at_ms => {
                for number in 0..self.gateways.len() {
                    let delay = Duration::from_millis(self.rng.u64(50..4_000));
                    self.limits.insert((now + delay, number), factor);
                }
            }
            _ => (),
        }
    }

    pub(super) fn change_limits(&mut self) {
        while let Some(((at, number), factor)) = self.limits.pop_first() {
            if at > self.now {
                self.limits.insert((at, number), factor);
                return;
            }
            let allowance = Allowance {
                per_s: self.load.per_s * factor,
                burst: self.load.per_s * factor,
                ..self.allowance
            };
            self.gateways[number]
                .meter
                .set_allowance(EXCESS.added_to(allowance), self.now);
        }
    }
}
