//! Versions of the engine descriptions in the current configuration.

use std::collections::BTreeMap;

use crate::{
    deployment::Configuration,
    link::EngineVersion, //
};

/// Versions of the engine descriptions by service, computed once per configuration.
#[derive(Debug, Default)]
pub(super) struct EngineVersions {
    configuration: u64,
    versions: BTreeMap<String, EngineVersion>,
}

impl EngineVersions {
    /// Returns the version of the engine description of a service, if its servers are engines.
    pub(super) fn of(
        &mut self,
        configuration: &Configuration,
        service: &str,
    ) -> Option<EngineVersion> {
        if self.configuration != configuration.version {
            let services = configuration.services.iter();
            let engines = services.filter_map(|service| Some((service, service.engine.as_ref()?)));
            self.configuration = configuration.version;
            self.versions = engines
                .map(|(service, engine)| {
                    let version = EngineVersion::new(configuration.version, engine);
                    (service.name.clone(), version)
                })
                .collect();
        }
        self.versions.get(service).copied()
    }
}
