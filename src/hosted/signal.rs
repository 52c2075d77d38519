//! Signals from the operating system.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
};

use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

use super::Settings;
use crate::report;

/// Signals to this process.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    hangup: Signal,
    path: PathBuf,
}

impl Signals {
    /// Starts to listen; `path` is the file of the settings.
    pub(super) fn new(path: &Path) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
            path: path.to_owned(),
        })
    }

    /// Waits for the signal to stop. Settings that changed meanwhile are checked and reported;
    /// they take effect at the next start.
    pub(crate) async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => self.check(),
            }
        }
    }

    fn check(&self) {
        match Settings::load(&self.path) {
            Ok(settings) => report::info("settings_reread", &[("instance", &settings.instance)]),
            Err(findings) => report::warn("settings_wrong", &[("findings", &findings)]),
        }
    }
}
