//! Daemon on the users' platform: a gateway in front of the servers, or a loader beside one.

mod error;
mod live;
mod schema;
mod settings;
mod signal;

pub use error::Error;
pub use live::Live;
pub use settings::{
    Listen,
    Revocation,
    Settings, //
};
pub(crate) use signal::Signals;

use std::{
    path::Path,
    rc::Rc, //
};

use http_body_util::Full;
use hyper::Response;
use tokio::{
    runtime::Builder,
    task::LocalSet, //
};

use crate::{
    gateway,
    http,
    loader,
    metrics::Metrics,
    report, //
};

/// Role of a daemon on the users' platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Forwards clients' requests to servers.
    Gateway,
    /// Sends orders to the engine on this machine.
    Loader,
}

impl Role {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Loader => "loader",
        }
    }
}

/// Runs a daemon until it receives the signal to stop.
///
/// # Errors
///
/// Fails if the settings are wrong or the operating system refuses what the daemon needs.
pub fn run(role: Role, path: &Path) -> Result<(), Error> {
    let settings = Settings::load(path).map_err(Error::Settings)?;
    // Fails only if a logger is already set up; that logger is then used.
    let _ = report::start_rate_limited(&settings.log_level, &settings.instance);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let live = Rc::new(Live::new(settings));
    let settings = live.get();
    let metrics = Rc::new(Metrics::default());
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::new(path, live.clone())?;
        report::info(
            "started",
            &[
                ("role", &role.as_str()),
                ("instance", &settings.instance),
                ("failure_domain", &settings.failure_domain),
            ],
        );
        let exposed = metrics.clone();
        let text = move || Response::new(Full::from(exposed.text()));
        tokio::task::spawn_local(http::serve(settings.metrics_addr(), text));
        match role {
            Role::Gateway => {
                let listen = settings.listen.clone().ok_or(Error::Missing("listen"))?;
                gateway::run(live, listen, metrics, signals).await;
            }
            Role::Loader => {
                let engine = settings.engine_addr.ok_or(Error::Missing("engine_addr"))?;
                loader::run(live, engine, metrics, signals).await;
            }
        }
        report::info("stopped", &[]);
        Ok(())
    })
}
