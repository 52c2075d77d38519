//! Software versions of the servers of each service.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    deployment::Server,
    link::ORIGIN_RETENTION,
    report,
    timer::Time, //
};

/// When servers of a software version were listed.
#[derive(Debug, Clone, Copy)]
struct Listed {
    /// First time; the start of the clock for versions of the first list.
    first: Time,
    last: Time,
}

/// Software versions of the servers of each service.
#[derive(Debug, Default)]
pub(super) struct Versions {
    services: RefCell<BTreeMap<String, BTreeMap<String, Listed>>>,
}

impl Versions {
    /// Records that a server is listed.
    pub(super) fn record(&self, server: &Server, now: Time) {
        let mut services = self.services.borrow_mut();
        let versions = services.entry(server.service.clone()).or_default();
        let is_first = versions.is_empty();
        if let Some(listed) = versions.get_mut(&server.software) {
            listed.last = now;
            return;
        }
        let listed = Listed {
            first: if is_first { Time::ZERO } else { now },
            last: now,
        };
        versions.insert(server.software.clone(), listed);
        report::info(
            "software_version",
            &[
                ("service", &server.service),
                ("version", &server.software),
                ("server", &server.id),
            ],
        );
    }

    /// Returns whether servers of several software versions of a service serve, or served within the
    /// time for which a stream may be taken up again.
    pub(super) fn are_several(&self, service: &str, now: Time) -> bool {
        let services = self.services.borrow();
        let versions = services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, listed)| now - listed.last < ORIGIN_RETENTION);
        recent.count() > 1
    }

    /// Returns whether the software version of a server has been listed for less than `period`.
    /// Other gateways may not know of it yet, and would take its streams for those of the version
    /// that they know.
    pub(super) fn is_new(&self, server: &Server, period: Duration, now: Time) -> bool {
        let services = self.services.borrow();
        let versions = services.get(&server.service);
        let listed = versions.and_then(|versions| versions.get(&server.software));
        listed.is_some_and(|listed| now - listed.first < period)
    }
}
