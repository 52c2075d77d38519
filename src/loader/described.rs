//! The description of the engine, as gateways tell it.

use std::{
    rc::Rc,
    time::Duration, //
};

use crate::{
    deployment::Engine,
    link::{
        EngineDescription,
        EngineVersion, //
    },
    timer::Time,
};

/// Time after which another gateway is asked.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// The description of the engine that a loader has.
///
/// Gateways follow the configuration, so they name their version of the description and send it to
/// loaders that ask. A loader asks one gateway at a time: the configuration is large, and every
/// copy of it that crosses to another region delays the answers that use the same link.
///
/// # Examples
///
/// ```
/// use chestnuthub::link::EngineVersion;
/// use chestnuthub::loader::Described;
/// use chestnuthub::timer::Time;
///
/// let version = EngineVersion { configuration: 3, digest: 7 };
/// let mut described = Described::default();
/// assert!(described.note(1, version, Time::from_millis(0)));
/// assert!(!described.note(2, version, Time::from_millis(10)));
/// ```
#[derive(Debug, Default)]
pub struct Described {
    known: Option<(EngineVersion, Rc<Engine>)>,
    /// The gateway that was asked, and when.
    asked: Option<(u64, Time)>,
}

impl Described {
    /// Takes the version that a gateway has; returns whether to ask it for the description.
    pub fn note(&mut self, gateway: u64, version: EngineVersion, now: Time) -> bool {
        if let Some((known, _)) = &mut self.known {
            if version.configuration <= known.configuration {
                return false;
            }
            if version.digest == known.digest {
                known.configuration = version.configuration;
                return false;
            }
        }
        if self.asked.is_some_and(|(_, at)| now - at < PATIENCE) {
            return false;
        }
        self.asked = Some((gateway, now));
        true
    }

    /// Takes a description; one of an older configuration than the known one changes nothing.
    pub fn learn(&mut self, description: EngineDescription) {
        self.asked = None;
        let version = description.version;
        let known = self.known.as_ref();
        if known.is_none_or(|(known, _)| version.configuration >= known.configuration) {
            self.known = Some((version, Rc::new(description.engine)));
        }
    }

    /// Forgets a gateway that has gone.
    pub fn forget(&mut self, gateway: u64) {
        self.asked = self.asked.filter(|(asked, _)| *asked != gateway);
    }

    /// Returns whether a gateway was asked and has not answered.
    pub fn is_asked(&self, gateway: u64) -> bool {
        self.asked.is_some_and(|(asked, _)| asked == gateway)
    }

    /// Returns the engine, if a gateway has described it.
    pub fn engine(&self) -> Option<Rc<Engine>> {
        self.known.as_ref().map(|(_, engine)| engine.clone())
    }
}
