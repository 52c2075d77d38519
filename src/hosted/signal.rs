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

/// Signals to this process.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    hangup: Signal,
    path: PathBuf,
    live: Rc<Live>,
}

impl Signals {
    /// Starts to listen; `path` is the file of the settings.
    pub(super) fn new(path: &Path, live: Rc<Live>) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
            path: path.to_owned(),
            live,
        })
    }

    /// Waits for the signal to stop. At a hangup the settings are read again.
    pub(crate) async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => self.reread(),
            }
        }
    }

    /// Settings that are wrong change nothing.
    fn reread(&self) {
        match Settings::load(&self.path) {
            Ok(settings) => {
                let waiting = self.live.replace(settings).join(",");
                report::info("settings_reread", &[("at_next_start", &waiting)]);
            }
            Err(findings) => report::warn("settings_wrong", &[("findings", &findings)]),
        }
    }
}
