//! What comes in, what goes wrong, and what comes out.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chestnuthub::timer::Time;

const WINDOW: Duration = Duration::from_secs(8);

/// Time at which schedules begin, in ms.
pub(super) const START_MS: u64 = 100_000;

/// What comes in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) gateways: usize,
    pub(crate) hubs: usize,
    /// Units per second and burst of the account's allowance.
    pub(crate) per_s: f64,
    /// Mean units of a request.
    pub(crate) cost: f64,
    /// Units asked for, as a multiple of `per_s`, and from when on.
    pub(crate) asked: &'static [(u64, f64)],
    /// Part of the requests that come in at a tenth of the gateways.
    pub(crate) uneven: f64,
    pub(crate) length_s: u64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Trouble {
    /// This part of the gateways starts anew at a time (s), after half a second.
    Restart(u64, f64),
    /// This part of the gateways freezes from a time (s) for some ms, and goes on.
    Freeze(u64, f64, u64),
    /// This part of the gateways hears no hub from a time (s) on, for some s.
    Cut(u64, f64, u64),
    /// The regions, each half of the gateways and hubs, don't hear each other.
    Regions(u64, u64),
    /// Half of the hubs end; their gateways go to others within 300 ms.
    Hubs(u64),
    /// From a time (s) on the allowance is this multiple, in force within 4 s.
    Limit(u64, f64),
}

/// What came out.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Admitted requests: time and units.
    pub(crate) admitted: Vec<(Time, f64)>,
    /// What one token bucket at one place would have admitted of the same requests.
    pub(crate) central: f64,
    pub(crate) asked: u64,
    pub(crate) refused: u64,
    /// Requests that were refused while the central bucket, fed with what was admitted, held them.
    pub(crate) refused_below: u64,
    /// Messages that tell of the account, and accounts in them: by gateways, by hubs to hubs, by
    /// hubs to gateways.
    pub(crate) messages: [u64; 3],
}

impl Outcome {
    /// Returns the most units in a window that begins in this time, in seconds.
    pub(crate) fn most_in_window(&self, from_s: u64) -> f64 {
        let mut window = VecDeque::new();
        let (mut sum, mut most) = (0.0, 0.0_f64);
        for (at, units) in &self.admitted {
            if at.as_millis() < START_MS + from_s * 1_000 {
                continue;
            }
            window.push_back((*at, *units));
            sum += units;
            while window
                .front()
                .is_some_and(|(first, _)| *at - *first >= WINDOW)
            {
                sum -= window.pop_front().map_or(0.0, |(_, units)| units);
            }
            most = most.max(sum);
        }
        most
    }

    /// Returns the units that were admitted in a time, in seconds.
    pub(crate) fn used(&self, from_s: u64, to_s: u64) -> f64 {
        let within = START_MS + from_s * 1_000..START_MS + to_s * 1_000;
        let admitted = self.admitted.iter();
        let admitted = admitted.filter(|(at, _)| within.contains(&at.as_millis()));
        admitted.map(|(_, units)| units).sum()
    }
}
