//! The schedule: arrivals, messages, faults and what was admitted.

mod trouble;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chestnuthub::{
    deployment::{
        Allowance,
        Unit, //
    },
    dispatch::{
        Meter,
        Reach, //
    },
    hosted::Excess,
    link::{
        Ledger,
        Pace,
        Spending,
        Told, //
    },
    timer::Time,
};
use fastrand::Rng;

use super::{
    rival::{
        Rival,
        Rule, //
    },
    scene::{
        Load,
        Outcome,
        START_MS,
        Trouble, //
    },
};

const STEP_MS: u64 = 10;
const ACCOUNT: u64 = 0x5eed_5eed_5eed_5eed;
/// What is tolerated beyond an allowance.
const EXCESS: Excess = Excess {
    ratio: 0.1,
    slack: 110_000.0,
    window_ms: 8_000.0,
};

const HUB_HEARTBEAT: Duration = Duration::from_millis(250);

/// Time without word from the hub after which a gateway goes by its part alone.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// Time after which a hub takes a gateway that tells nothing for missing.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time for which hubs that are heard again count as unheard.
const SPLIT_HOLD: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Gateway {
    meter: Meter,
    rival: Rival,
    ledger: Ledger,
    told: Told,
    hub: usize,
    heard_at: Option<Time>,
    is_new: bool,
    /// Units asked for here and at others, decayed over a second.
    asked: [f64; 2],
    frozen_until: Time,
    down_until: Time,
    cut_at: Time,
    cut_until: Time,
    moving_until: Time,
    weight: f64,
}

#[derive(Debug, Default)]
struct Hub {
    is_gone: bool,
    own: Ledger,
    all: Ledger,
    to_hubs: BTreeMap<usize, Told>,
    to_gateways: BTreeMap<usize, (Told, Option<Time>)>,
}

#[derive(Debug)]
enum Message {
    ToHub(usize, usize, Vec<Spending>),
    Between(usize, Vec<Spending>),
    ToGateway(usize, usize, Vec<Spending>),
    Return(usize, f64),
}

/// The fleet under a schedule.
#[derive(Debug)]
pub(crate) struct World {
    rule: Rule,
    load: Load,
    allowance: Allowance,
    gateways: Vec<Gateway>,
    hubs: Vec<Hub>,
    messages: BTreeMap<(Time, u64), Message>,
    sent: u64,
    now: Time,
    rng: Rng,
    regions_cut_at: Time,
    regions_cut_until: Time,
    limits: BTreeMap<(Time, usize), f64>,
    central: (f64, f64),
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(rule: Rule, load: Load, seed: u64) -> Self {
        let now = Time::from_millis(START_MS);
        let mut rng = Rng::with_seed(seed);
        let allowance = Allowance {
            per_s: load.per_s,
            burst: load.per_s,
            unit: Unit::Tokens { plain: 200.0 },
        };
        let busy = load.gateways.div_ceil(10);
        let gateways = (0..load.gateways).map(|number| Gateway {
            weight: if number < busy {
                load.uneven / busy as f64 + (1.0 - load.uneven) / load.gateways as f64
            } else {
                (1.0 - load.uneven) / load.gateways as f64
            },
            ..gateway(
                rule,
                allowance,
                load.gateways,
                number % load.hubs,
                now,
                rng.u64(..),
            )
        });
        let gateways = gateways.collect();
        Self {
            rule,
            load,
            allowance,
            gateways,
            hubs: (0..load.hubs).map(|_| Hub::default()).collect(),
            messages: BTreeMap::new(),
            sent: 0,
            now,
            rng,
            regions_cut_at: now + Duration::from_secs(3_600),
            regions_cut_until: now,
            limits: BTreeMap::new(),
            central: (load.per_s, load.per_s),
            outcome: Outcome::default(),
        }
    }

    /// Plays the schedule.
    pub(crate) fn play(mut self, troubles: &[Trouble]) -> Outcome {
        for step in 0..self.load.length_s * 1_000 / STEP_MS {
            let at = Duration::from_millis(step * STEP_MS);
            self.now = Time::from_millis(START_MS) + at;
            for trouble in troubles {
                self.begin(*trouble, step * STEP_MS);
            }
            self.refill();
            self.deliver();
            self.change_limits();
            self.exchange();
            // The fleet runs before its first requests arrive.
            if step * STEP_MS >= 2_000 {
                self.arrive(step * STEP_MS);
            }
        }
        self.outcome
    }

    /// The central bucket, and the one that is fed with what was admitted.
    fn refill(&mut self) {
        let gained = self.load.per_s * STEP_MS as f64 / 1_000.0;
        let burst = self.load.per_s;
        self.central.0 = (self.central.0 + gained).min(burst);
        self.central.1 = (self.central.1 + gained).min(burst);
    }

    fn region(&self, hub: usize) -> usize {
        2 * hub / self.hubs.len()
    }

    fn send(&mut self, latency_ms: std::ops::Range<u64>, message: Message) {
        let at = self.now + Duration::from_millis(self.rng.u64(latency_ms));
        self.sent += 1;
        self.messages.insert((at, self.sent), message);
    }

    fn deliver(&mut self) {
        while let Some(((at, number), message)) = self.messages.pop_first() {
            if at > self.now {
                self.messages.insert((at, number), message);
                return;
            }
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::ToHub(from, to, news) => {
                let hub = &mut self.hubs[to];
                let Some((told, _)) = hub.to_gateways.get_mut(&from) else {
                    return;
                };
                for spending in &news {
                    hub.own.record(spending, now);
                    hub.all.record(spending, now);
                    told.skip(spending);
                }
            }
            Message::Between(to, news) => {
                for spending in &news {
                    self.hubs[to].all.record(spending, now);
                }
            }
            Message::ToGateway(from, to, news) => self.tell(from, to, &news),
            Message::Return(at, cost) => {
                self.ask(at, cost, None);
            }
        }
    }

    /// Returns the part of the gateways that hubs hear. Those heard again count as unheard for a while.
    fn joined(&self) -> Reach {
        let is_split =
            (self.regions_cut_at..self.regions_cut_until + SPLIT_HOLD).contains(&self.now);
        let is_missing = |gateway: &&Gateway| {
            (gateway.cut_at + GATEWAY_TIMEOUT..gateway.cut_until + SPLIT_HOLD).contains(&self.now)
        };
        let missing = self.gateways.iter().filter(is_missing).count();
        let heard = 1.0 - missing as f64 / self.gateways.len() as f64;
        let fraction = if is_split { 0.5 * heard } else { heard };
        Reach::Joined { fraction }
    }

    fn tell(&mut self, from: usize, to: usize, news: &[Spending]) {
        let now = self.now;
        let reach = self.joined();
        let gateway = &mut self.gateways[to];
        if now < gateway.frozen_until {
            let again = Message::ToGateway(from, to, news.to_vec());
            let at = gateway.frozen_until;
            self.sent += 1;
            self.messages.insert((at, self.sent), again);
            return;
        }
        if now < gateway.down_until || now < gateway.cut_until || gateway.hub != from {
            return;
        }
        gateway.heard_at = Some(now);
        if gateway.is_new {
            gateway.is_new = false;
            let recent = news.iter().find_map(|news| news.recent_per_s);
            gateway.meter.unsettle();
            let recent = f64::from(recent.unwrap_or_default());
            let gateways = self.load.gateways as u32;
            gateway.meter.settle(recent, gateways, now);
        }
        for news in news.iter().filter(|news| news.recent_per_s.is_none()) {
            let (admitted, asked) = (news.admitted as f64, news.asked as f64);
            gateway.meter.learn(admitted, asked, reach, now);
            gateway.rival.learn(self.rule, admitted);
            gateway.asked[1] += asked;
        }
    }

    /// Gateways tell their hubs; hubs tell other hubs and their gateways.
    fn exchange(&mut self) {
        let now = self.now;
        for number in 0..self.gateways.len() {
            let gateway = &mut self.gateways[number];
            gateway.asked = gateway.asked.map(|asked| asked * 0.99);
            let is_away = [
                gateway.frozen_until,
                gateway.down_until,
                gateway.cut_until,
                gateway.moving_until,
            ];
            if is_away.iter().any(|until| now < *until) {
                continue;
            }
            let hub = gateway.hub;
            let known = &mut self.hubs[hub];
            if !known.to_gateways.contains_key(&number) {
                let recent = known.all.recent(now);
                let told = (Told::new(&known.all, Pace::Collected), Some(now));
                known.to_gateways.insert(number, told);
                if gateway.is_new {
                    gateway.told = Told::new(&gateway.ledger, Pace::Prompt);
                }
                self.send(1..20, Message::ToGateway(hub, number, recent));
                continue;
            }
            let news = gateway.ledger.news(&mut gateway.told, now);
            if !news.is_empty() {
                self.outcome.messages[0] += 1;
                self.send(1..15, Message::ToHub(number, hub, news));
            }
        }
        for from in 0..self.hubs.len() {
            if !self.hubs[from].is_gone {
                self.exchange_hub(from);
            }
        }
    }

    fn exchange_hub(&mut self, from: usize) {
        let now = self.now;
        for to in 0..self.hubs.len() {
            let is_cut = now < self.regions_cut_until && self.region(from) != self.region(to);
            let hub = &mut self.hubs[from];
            if to == from || is_cut {
                hub.to_hubs.remove(&to);
                continue;
            }
            let told = hub.to_hubs.entry(to);
            let told = told.or_insert_with(|| Told::new(&hub.own, Pace::Collected));
            let news = hub.own.news(told, now);
            if !news.is_empty() {
                self.outcome.messages[1] += 1;
                self.send(5..35, Message::Between(to, news));
            }
        }
        let numbers: Vec<_> = self.hubs[from].to_gateways.keys().copied().collect();
        for number in numbers {
            let hub = &mut self.hubs[from];
            let Some((told, last)) = hub.to_gateways.get_mut(&number) else {
                continue;
            };
            if last.is_none_or(|last| now - last >= HUB_HEARTBEAT) {
                *last = Some(now);
                let news = hub.all.news(told, now);
                self.outcome.messages[2] += u64::from(!news.is_empty());
                self.send(1..25, Message::ToGateway(from, number, news));
            }
        }
    }

    /// Requests of this step, at random times and gateways.
    fn arrive(&mut self, at_ms: u64) {
        let asked = self.load.asked.iter().rev();
        let factor = asked.clone().find(|(from_s, _)| from_s * 1_000 <= at_ms);
        let factor = factor.map_or(0.0, |(_, factor)| *factor);
        let mean = factor * self.load.per_s * STEP_MS as f64 / 1_000.0 / self.load.cost;
        let mut left = mean;
        while left > 0.0 {
            if self.rng.f64() < left.min(0.05) {
                let cost = (self.load.cost * (0.9 + 0.2 * self.rng.f64())).round();
                let at = self.pick();
                let deadline = self.now + Duration::from_secs(17);
                self.ask(at, cost, Some(deadline));
            }
            left -= 0.05;
        }
    }

    fn pick(&mut self) -> usize {
        let mut draw = self.rng.f64();
        for (number, gateway) in self.gateways.iter().enumerate() {
            draw -= gateway.weight;
            if draw < 0.0 {
                return number;
            }
        }
        self.gateways.len() - 1
    }

    /// A request; it comes back once if it is refused.
    fn ask(&mut self, number: usize, cost: f64, deadline: Option<Time>) {
        let now = self.now;
        let joined = self.joined();
        let gateway = &mut self.gateways[number];
        if now < gateway.down_until || now < gateway.frozen_until {
            return;
        }
        let heard = gateway.heard_at.is_some_and(|at| now - at <= MAX_SILENCE);
        let reach = if heard {
            joined
        } else {
            Reach::Alone {
                gateways: self.load.gateways as u32,
            }
        };
        gateway.asked[0] += cost;
        let decision = gateway.meter.admit(cost, reach, now);
        let is_admitted = match self.rule {
            Rule::Built => decision.is_ok(),
            _ => {
                let part = gateway.asked[0] / (gateway.asked[0] + gateway.asked[1]);
                let shared = (self.rule, self.allowance);
                gateway
                    .rival
                    .admit(shared, (part, self.load.gateways), cost, now)
            }
        };
        let spending = Spending {
            account: ACCOUNT,
            per_s: gateway.meter.allowance().per_s as f32,
            admitted: if is_admitted { cost as i64 } else { 0 },
            asked: cost as u64,
            recent_per_s: None,
        };
        gateway.ledger.record(&spending, now);
        self.outcome.asked += 1;
        if self.central.0 > 0.0 {
            self.central.0 -= cost;
            self.outcome.central += cost;
        }
        if is_admitted {
            self.central.1 -= cost;
            self.outcome.admitted.push((now, cost));
            return;
        }
        self.outcome.refused += 1;
        self.outcome.refused_below += u64::from(self.central.1 >= cost);
        if let Some(deadline) = deadline {
            let after = decision.err().unwrap_or(Duration::from_millis(500));
            let after = after.min(deadline.remaining(now) / 3);
            let at = self.pick();
            self.sent += 1;
            self.messages
                .insert((now + after, self.sent), Message::Return(at, cost));
        }
    }
}

fn gateway(
    rule: Rule,
    allowance: Allowance,
    gateways: usize,
    hub: usize,
    now: Time,
    seed: u64,
) -> Gateway {
    Gateway {
        meter: Meter::new(EXCESS.added_to(allowance), now, seed),
        rival: Rival::new(rule, allowance, gateways, now),
        ledger: Ledger::default(),
        told: Told::default(),
        hub,
        heard_at: None,
        is_new: true,
        asked: [0.0; 2],
        frozen_until: now,
        down_until: now,
        cut_at: now,
        cut_until: now,
        moving_until: now,
        weight: 0.0,
    }
}
