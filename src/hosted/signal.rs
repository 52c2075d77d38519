//! Signals from the operating system.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
    rc::Rc,
};

use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

use super::{
    Live,
    Settings, //
};
use crate::report;

/// Receives the signals to this process and reloads its settings.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    hangup: Signal,
    path: PathBuf,
    live: Rc<Live>,
}

impl Signals {
    /// Starts to receive signals; `path` is the settings file.
    pub(super) fn new(path: &Path, live: Rc<Live>) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
            path: path.to_owned(),
            live,
        })
    }

    /// Waits for SIGTERM. The settings are reloaded at each SIGHUP.
    pub(crate) async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => self.reload(),
            }
        }
    }

    /// Reloads the settings; invalid settings are logged and ignored.
    fn reload(&self) {
        match Settings::load(&self.path) {
            Ok(settings) => {
                let at_next_start = self.live.replace(settings).join(",");
                report::info("settings_reread", &[("at_next_start", &at_next_start)]);
            }
            Err(findings) => report::warn("settings_wrong", &[("findings", &findings)]),
        }
    }
}
