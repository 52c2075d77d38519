//! Settings that can be replaced while the process runs.

use std::{
    cell::RefCell,
    rc::Rc, //
};

use super::Settings;

/// The current settings. The instance name, addresses, ports, polling periods and the log level are
/// fixed when the process starts; the others can change while it runs.
#[derive(Debug)]
pub struct Live(RefCell<Rc<Settings>>);

impl Live {
    /// Creates the current settings from those read at the start.
    pub fn new(settings: Settings) -> Self {
        Self(RefCell::new(Rc::new(settings)))
    }

    /// Returns the current settings.
    pub fn get(&self) -> Rc<Settings> {
        self.0.borrow().clone()
    }

    /// Applies the settings that can change while the process runs. Returns the names of the other
    /// fields that have changed, which take effect at the next start.
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
        let fixed = [
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
            ("first_start", old.is_first_start == new.is_first_start),
            ("revocation", old.revocation == new.revocation),
            ("log_level", old.log_level == new.log_level),
        ];
        let current = Settings {
            failure_domain: new.failure_domain,
            regions: new.regions,
            grace_ms: new.grace_ms,
            retry: new.retry,
            store_load_window_ms: new.store_load_window_ms,
            ..old.as_ref().clone()
        };
        *self.0.borrow_mut() = Rc::new(current);
        let changed_fixed = fixed.into_iter().filter(|(_, is_same)| !is_same);
        changed_fixed.map(|(name, _)| name).collect()
    }
}
