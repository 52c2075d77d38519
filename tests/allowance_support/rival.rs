//! Ways of sharing an allowance that were weighed against the one that is built.

use chestnuthub::{
    deployment::Allowance,
    timer::Time, //
};

/// How a gateway decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Rule {
    /// `dispatch::Meter`.
    Built,
    /// A token bucket with an equal share of the allowance.
    Equal,
    /// A token bucket with a share of the allowance in proportion to what is asked for here.
    ByDemand,
    /// A replica of one token bucket that admits while its level is above 0.
    Level,
}

/// The state of one gateway.
#[derive(Debug)]
pub(crate) struct Rival {
    level: f64,
    at: Time,
}

impl Rival {
    pub(crate) fn new(rule: Rule, allowance: Allowance, gateways: usize, now: Time) -> Self {
        let level = match rule {
            Rule::Level => allowance.burst,
            _ => allowance.burst / gateways as f64,
        };
        Self { level, at: now }
    }

    pub(crate) fn learn(&mut self, rule: Rule, admitted: f64) {
        if rule == Rule::Level {
            self.level -= admitted;
        }
    }

    /// `part` is this gateway's part of what is asked for, as far as it knows.
    pub(crate) fn admit(
        &mut self,
        (rule, allowance): (Rule, Allowance),
        (part, gateways): (f64, usize),
        cost: f64,
        now: Time,
    ) -> bool {
        let share = match rule {
            Rule::Equal => 1.0 / gateways as f64,
            Rule::ByDemand => part,
            Rule::Built | Rule::Level => 1.0,
        };
        let elapsed = (now - self.at).as_secs_f64();
        self.at = now;
        let capacity = match rule {
            Rule::Level => allowance.burst,
            _ => cost.max(allowance.burst * share),
        };
        self.level = (self.level + allowance.per_s * share * elapsed).min(capacity);
        let needed = if rule == Rule::Level {
            f64::MIN_POSITIVE
        } else {
            cost
        };
        let is_admitted = self.level >= needed;
        if is_admitted {
            self.level -= cost;
        }
        is_admitted
    }
}
