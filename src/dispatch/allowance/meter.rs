//! One gateway's replica of the token bucket of an account.

use std::time::Duration;

use fastrand::Rng;

use super::decay::Decay;
use crate::{
    deployment::Allowance,
    timer::Time, //
};

/// Time over which rates are averaged.
const TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Time within which what the bucket holds may be used. About as long as word of other gateways takes.
const USE_TIME_S: f64 = 0.2;

/// Time within which a debt is paid back.
const REPAY_TIME_S: f64 = 0.5;

/// Maximum time after which a client is told to retry.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// Time that word of other gateways usually takes.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// Time for which requests that were refused without a hub count.
const SCARCE_TIME: Duration = Duration::from_millis(2_000);

/// Which other gateways this one hears of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reach {
    /// None: there is no hub. The number of gateways that share the allowance is known or assumed.
    Alone {
        /// Number of gateways.
        gateways: u32,
    },
    /// Those of the hubs that its hub hears.
    Joined {
        /// Fraction of all gateways that are heard of, this one included.
        fraction: f64,
    },
}

impl Reach {
    fn fraction(self) -> f64 {
        match self {
            Self::Alone { .. } => 1.0,
            Self::Joined { fraction } => fraction,
        }
    }
}

/// One gateway's replica of the token bucket of an account.
///
/// # Examples
///
/// ```
/// use chestnuthub::deployment::{Allowance, Unit};
/// use chestnuthub::dispatch::{Meter, Reach};
/// use chestnuthub::timer::Time;
///
/// let allowance = Allowance { per_s: 10.0, burst: 10.0, unit: Unit::Requests };
/// let start = Time::from_millis(5_000);
/// let joined = Reach::Joined { fraction: 1.0 };
/// let mut meter = Meter::new(allowance, start, 7);
/// meter.settle(0.0, 3, start);
/// assert!(meter.admit(1.0, joined, start).is_ok());
/// // Other gateways have used much more than the bucket held.
/// meter.learn(40.0, 40.0, joined, start);
/// assert!(meter.admit(1.0, joined, start).is_err());
/// ```
#[derive(Debug)]
pub struct Meter {
    allowance: Allowance,
    /// What the bucket holds; negative if more was used.
    level: f64,
    updated_at: Time,
    /// Fraction of the gateways that share the bucket's replicas.
    fraction: f64,
    /// When others were last heard of.
    heard_at: Time,
    /// What others use.
    others_admitted: Decay,
    /// What requests ask for at other gateways, refused ones included.
    others_asked: Decay,
    /// What requests ask for here, refused ones included.
    own_asked: Decay,
    /// Part of the units asked for here that may be used, while a fraction is admitted.
    credit: f64,
    /// What may be used here without word of the others.
    alone: f64,
    /// Time until which requests that were refused without a hub count.
    scarce_until: Time,
    /// Whether the level is known, because a hub has been heard.
    is_settled: bool,
    was_settled: bool,
    /// Time for which the latest refused client was told to return.
    promised_until: Time,
    rng: Rng,
    /// Random part of a request with which credits begin, so that gateways differ.
    phase: f64,
}

impl Meter {
    /// Creates the replica of a gateway that has not heard of others. `seed` should differ between
    /// gateways.
    pub fn new(allowance: Allowance, now: Time, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        Self {
            allowance,
            level: 0.0,
            updated_at: now,
            fraction: 1.0,
            heard_at: now,
            others_admitted: Decay::new(now),
            others_asked: Decay::new(now),
            own_asked: Decay::new(now),
            credit: f64::NAN,
            alone: f64::NAN,
            scarce_until: now,
            is_settled: false,
            was_settled: false,
            promised_until: now,
            phase: rng.f64(),
            rng,
        }
    }

    /// Replaces the allowance. What was used under the former one stays used.
    pub fn set_allowance(&mut self, allowance: Allowance, now: Time) {
        if self.allowance == allowance {
            return;
        }
        self.advance(now);
        if self.allowance.unit != allowance.unit {
            *self = Self {
                level: allowance.burst,
                is_settled: self.is_settled,
                ..Self::new(allowance, now, self.rng.u64(..))
            };
            return;
        }
        // The bucket stays filled to the same part. A debt under a higher allowance is of no concern to
        // a lower one, which binds after a time.
        let part = self.level / self.allowance.burst.max(f64::MIN_POSITIVE);
        self.level = allowance.burst * part.clamp(-1.0, 1.0);
        self.allowance = allowance;
    }

    /// Returns the allowance.
    pub fn allowance(&self) -> Allowance {
        self.allowance
    }

    /// Returns what the bucket holds; negative if more was used.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns what requests ask for at all gateways, in units per second.
    pub fn asked_per_s(&self, now: Time) -> f64 {
        self.own_asked.per_s(TIME_CONSTANT, now) + self.others_asked.per_s(TIME_CONSTANT, now)
    }

    /// Records that a hub was heard for the first time, after the start or a time without one.
    /// `asked_per_s` is what requests have lately asked for at all gateways, as far as the hub knows:
    /// from this follows about what the bucket holds. If requests were refused here without a hub,
    /// they are taken to come in at the other gateways as well.
    pub fn settle(&mut self, asked_per_s: f64, gateways: u32, now: Time) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        self.was_settled = true;
        let per_s = self.allowance.per_s;
        let is_scarce = self.scarce_until > now;
        let assumed = if is_scarce {
            self.own_asked.per_s(TIME_CONSTANT, now) * f64::from(gateways)
        } else {
            0.0
        };
        let asked_per_s = asked_per_s.max(assumed);
        let unused = (1.0 - asked_per_s / per_s).clamp(0.0, 0.5) * 2.0;
        self.level = self.allowance.burst * unused;
        self.updated_at = now;
        self.heard_at = now;
        self.others_asked.set(asked_per_s, now);
        self.others_admitted.set(asked_per_s.min(per_s), now);
    }

    /// Records that no hub is heard, so that the level is no longer known.
    pub fn unsettle(&mut self) {
        self.is_settled = false;
    }

    /// Records what other gateways have admitted and what their requests have asked for since they
    /// were last heard of.
    pub fn learn(&mut self, admitted: f64, asked: f64, reach: Reach, now: Time) {
        self.advance(now);
        self.fraction = reach.fraction();
        self.level -= admitted;
        self.heard_at = now;
        self.others_admitted.record(admitted, TIME_CONSTANT, now);
        self.others_asked.record(asked, TIME_CONSTANT, now);
    }

    /// Returns whether a request that uses `cost` units may be sent, and counts it if it may.
    ///
    /// # Errors
    ///
    /// The time after which the client may return. Each call reserves the time for one client, so
    /// that not all return at once.
    pub fn admit(&mut self, cost: f64, reach: Reach, now: Time) -> Result<(), Duration> {
        let elapsed = self.advance(now);
        self.fraction = reach.fraction();
        self.own_asked.record(cost, TIME_CONSTANT, now);
        let is_admitted = match reach {
            Reach::Joined { fraction } => {
                self.alone = f64::NAN;
                self.admit_joined(cost, fraction, now)
            }
            Reach::Alone { gateways } => {
                let part = 1.0 / f64::from(gateways.max(1));
                self.admit_alone(cost, part, elapsed, now)
            }
        };
        if is_admitted {
            self.level -= cost;
            return Ok(());
        }
        Err(self.reserve_return(cost, reach, now))
    }

    /// Returns units of a request that was admitted and then not sent.
    pub fn give_back(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.allowance.burst);
    }

    /// Fills the bucket up to `now`; returns the time since it was filled before, in seconds.
    fn advance(&mut self, now: Time) -> f64 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let filled = self.allowance.per_s * self.fraction * elapsed;
        // What is on its way fits into the bucket beside what will be deducted for it.
        let capacity = self.allowance.burst * self.fraction + self.underway(MAX_DELAY, now);
        self.level = (self.level + filled).min(capacity);
        elapsed
    }

    /// Returns what others are estimated to have used in this time and not told yet.
    fn underway(&self, time: Duration, now: Time) -> f64 {
        self.others_admitted.per_s(TIME_CONSTANT, now) * time.as_secs_f64()
    }

    /// Returns what the bucket holds, as far as can be estimated.
    fn estimate(&self, now: Time) -> f64 {
        let untold = (now - self.heard_at).min(MAX_DELAY);
        self.level - self.underway(untold, now)
    }

    fn admit_joined(&mut self, cost: f64, fraction: f64, now: Time) -> bool {
        let level = self.estimate(now);
        let time_s = if level > 0.0 {
            USE_TIME_S
        } else {
            REPAY_TIME_S
        };
        let per_s = self.allowance.per_s * fraction + level / time_s;
        let admitted = (per_s / self.asked_per_s(now)).max(0.0);
        if admitted >= 1.0 {
            return true;
        }
        if self.credit.is_nan() {
            self.credit = self.phase * cost;
        }
        self.credit += admitted * cost;
        let is_admitted = self.credit >= cost;
        if is_admitted {
            self.credit -= cost;
        }
        is_admitted
    }

    /// Admits what this gateway's part of the rate allows. Requests may be large compared with it, so
    /// gateways begin at different parts of a request.
    fn admit_alone(&mut self, cost: f64, part: f64, elapsed_s: f64, now: Time) -> bool {
        if self.alone.is_nan() {
            // One that has just started may also use its part of the burst.
            let burst = if self.was_settled {
                0.0
            } else {
                self.allowance.burst * part
            };
            self.alone = self.phase * cost + burst;
        } else {
            let capacity = cost.max(self.allowance.burst * part);
            let gained = self.allowance.per_s * part * elapsed_s;
            self.alone = (self.alone + gained).min(capacity.max(self.alone));
        }
        let is_admitted = self.alone >= cost;
        if is_admitted {
            self.alone -= cost;
        } else {
            self.scarce_until = now + SCARCE_TIME;
        }
        is_admitted
    }

    /// Returns the time after which a refused client may return: when debts are paid back and the
    /// clients before it have had what they ask for.
    fn reserve_return(&mut self, cost: f64, reach: Reach, now: Time) -> Duration {
        let own_per_s = self.allowance.per_s * self.own_part(reach, now);
        let debt_s = (-self.level).max(0.0) / self.allowance.per_s;
        let interval_s = cost / own_per_s * (0.5 + self.rng.f64());
        let promised_s = self.promised_until.remaining(now).as_secs_f64();
        let after_s = promised_s.max(debt_s) + interval_s;
        // Many refused clients are told different times all the same.
        let latest_s = MAX_RETRY_AFTER_S * (0.5 + 0.5 * self.rng.f64());
        // Not a number without any allowance, which `min` passes over.
        let after = Duration::from_secs_f64(after_s.min(latest_s));
        self.promised_until = now + after;
        after
    }

    /// Returns the part of the allowance that this gateway uses.
    fn own_part(&self, reach: Reach, now: Time) -> f64 {
        match reach {
            Reach::Joined { fraction } => {
                let own = self.own_asked.per_s(TIME_CONSTANT, now);
                fraction * own / self.asked_per_s(now).max(own)
            }
            Reach::Alone { gateways } => 1.0 / f64::from(gateways.max(1)),
        }
    }
}
