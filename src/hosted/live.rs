//! The settings in force.

use std::{
    cell::RefCell,
    rc::Rc, //
};

use super::Settings;

/// The settings in force. Names, addresses, ports, the periods of reads and the log level are bound
/// to the start of the process; the others change while it runs.
#[derive(Debug)]
pub struct Live(RefCell<Rc<Settings>>);

impl Live {
    /// Puts settings in force.
    pub fn new(settings: Settings) -> Self {
        Self(RefCell::new(Rc::new(settings)))
    }

    /// Returns the settings in force.
    pub fn get(&self) -> Rc<Settings> {
        self.0.borrow().clone()
    }

    /// Puts settings in force as far as a running process can; returns the names of the fields
    /// whose change waits for the next start.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::hosted::{Live, Settings};
    ///
    /// let text = r#"{
    ///     "instance": "side-1", "failure_domain": "z1", "regions": { "z1": "r1" },
    ///     "peer_ip": "10.0.0.1", "peer_port": 7000, "metrics_port": 9464,
    ///     "store_addr": "10.0.0.9:80", "engine_addr": "10.0.0.1:81", "grace_ms": 8e3,
    ///     "retry": { "ratio": 0.2, "slack": 54, "window_ms": 10e3 },
    ///     "store_load_window_ms": 5e3, "server_drain_ms": 2500, "settled_after_ms": 4000,
    /// }"#;
    /// let settings = |text: &str| Settings::parse("node.jsonc", text).unwrap();
    /// let live = Live::new(settings(text));
    /// let changed = text.replace("54", "60").replace("7000", "7001");
    /// assert_eq!(live.replace(settings(&changed)), ["peer_port"]);
    /// assert_eq!(live.get().retry.slack, 60.0);
    /// assert_eq!(live.get().peer_port, 7000);
    /// ```
    pub fn replace(&self, new: Settings) -> Vec<&'static str> {
        let old = self.get();
        let bound = [
            ("instance", old.instance == new.instance),
            ("peer_ip", old.peer_ip == new.peer_ip),
            ("peer_port", old.peer_port == new.peer_port),
            ("metrics_port", old.metrics_port == new.metrics_port),
            ("store_addr", old.store_addr == new.store_addr),
            ("listen", old.listen == new.listen),
            ("engine_addr", old.engine_addr == new.engine_addr),
            (
                "server_drain_ms",
                old.server_drain_ms == new.server_drain_ms,
            ),
            (
                "settled_after_ms",
                old.settled_after_ms == new.settled_after_ms,
            ),
            ("log_level", old.log_level == new.log_level),
        ];
        let in_force = Settings {
            failure_domain: new.failure_domain,
            regions: new.regions,
            grace_ms: new.grace_ms,
            retry: new.retry,
            store_load_window_ms: new.store_load_window_ms,
            ..old.as_ref().clone()
        };
        *self.0.borrow_mut() = Rc::new(in_force);
        let waiting = bound.into_iter().filter(|(_, is_same)| !is_same);
        waiting.map(|(name, _)| name).collect()
    }
}
