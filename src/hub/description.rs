//! The description of the engine, which hubs get from gateways and loaders from hubs.

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

/// Timeout for a gateway to send the description, after which another gateway may be asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The newest description of the engine and the pending request for a newer one.
///
/// Gateways follow the configuration. They announce their version of the description and send the
/// description itself on request. A hub asks one gateway at a time: the configuration is large, and
/// every copy sent to another region delays the responses on the same link. Loaders ask hubs in the
/// same way.
///
/// # Examples
///
/// ```
/// use chestnuthub::link::EngineVersion;
/// use chestnuthub::hub::Description;
/// use chestnuthub::timer::Time;
///
/// let version = EngineVersion { configuration: 3, digest: 7 };
/// let mut description = Description::default();
/// assert!(description.offer(1, version, Time::from_millis(0)));
/// assert!(!description.offer(2, version, Time::from_millis(10)));
/// ```
#[derive(Debug, Default)]
pub struct Description {
    known: Option<(EngineVersion, Rc<Engine>)>,
    /// The gateway that was asked for the description, and when.
    requested: Option<(u64, Time)>,
    /// Newest version of the configuration that a gateway has announced.
    newest: Option<u64>,
}

impl Description {
    /// Handles the version that a gateway announces; returns whether to ask it for the description,
    /// in which case the request counts as sent at `now`.
    pub fn offer(&mut self, gateway: u64, version: EngineVersion, now: Time) -> bool {
        self.newest = self.newest.max(Some(version.configuration));
        if let Some((known, _)) = &mut self.known {
            if version.configuration <= known.configuration {
                return false;
            }
            if version.digest == known.digest {
                known.configuration = version.configuration;
                return false;
            }
        }
        if self
            .requested
            .is_some_and(|(_, at)| now - at < REQUEST_TIMEOUT)
        {
            return false;
        }
        self.requested = Some((gateway, now));
        true
    }

    /// Replaces the description, unless the new one is from an older configuration.
    pub fn update(&mut self, description: EngineDescription) {
        self.requested = None;
        let version = description.version;
        self.newest = self.newest.max(Some(version.configuration));
        let known = self.known.as_ref();
        if known.is_none_or(|(known, _)| version.configuration >= known.configuration) {
            self.known = Some((version, Rc::new(description.engine)));
        }
    }

    /// Returns the newest version of the configuration that a gateway has announced, also one that is
    /// no longer there.
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// Drops the pending request to a gateway that disconnected.
    pub fn remove_gateway(&mut self, gateway: u64) {
        self.requested = self
            .requested
            .filter(|(requested, _)| *requested != gateway);
    }

    /// Returns whether a request to this gateway is pending.
    pub fn is_requested(&self, gateway: u64) -> bool {
        self.requested
            .is_some_and(|(requested, _)| requested == gateway)
    }

    /// Returns the version of the description, if a gateway has sent it.
    pub(crate) fn version(&self) -> Option<EngineVersion> {
        self.known.as_ref().map(|(version, _)| *version)
    }

    /// Returns the description with its version, if a gateway has sent it.
    pub(crate) fn description(&self) -> Option<EngineDescription> {
        let (version, engine) = self.known.as_ref()?;
        Some(EngineDescription {
            version: *version,
            engine: engine.as_ref().clone(),
        })
    }

    /// Returns the engine's properties, if a gateway has sent them.
    pub fn engine(&self) -> Option<Rc<Engine>> {
        self.known.as_ref().map(|(_, engine)| engine.clone())
    }
}
