//! Lookup of the models and services that clients name, restricted to those that their
//! institution may call.

use std::fmt;

use super::{
    Access,
    Adapter,
    Call,
    Catalogue,
    Item,
    Key,
    Model,
    Service, //
};
use crate::id;

/// A model version that an institution may call.
#[derive(Debug, Clone, PartialEq)]
pub struct Target<'a> {
    /// The model version.
    pub model: &'a Model,
    /// The adapter, if the client named one.
    pub adapter: Option<&'a Adapter>,
    /// The institution's right to call it, with limits.
    pub access: &'a Access,
}

/// The target does not exist or the institution may not call it. Clients can't distinguish the two
/// cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unknown;

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such target for this institution")
    }
}

impl std::error::Error for Unknown {}

impl Catalogue {
    /// Finds the model version that `institution` may call under `name[@version][+adapter]`.
    ///
    /// Without a version, this is the adapter's version if an adapter is named, otherwise the
    /// highest version.
    ///
    /// # Errors
    ///
    /// `Unknown` if there is no such target or the institution may not call it.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::catalogue::{Catalogue, Unknown};
    ///
    /// let catalogue = Catalogue::default();
    /// let found = catalogue.resolve(&"cascade".into(), "gear-check@1+bevel");
    /// assert_eq!(found, Err(Unknown));
    /// ```
    pub fn resolve(
        &self,
        institution: &id::Institution,
        target: &str,
    ) -> Result<Target<'_>, Unknown> {
        let (versioned, adapter) = match target.split_once('+') {
            Some((versioned, adapter)) => (versioned, Some(adapter)),
            None => (target, None),
        };
        let (name, version) = match versioned.split_once('@') {
            Some((name, version)) => (name, Some(parse_version(version)?)),
            None => (versioned, None),
        };
        let access = self.access(institution, name)?;
        let adapter = match adapter {
            Some(adapter) => Some(self.adapter(adapter)?),
            None => None,
        };
        let model = match (version, adapter) {
            (Some(version), _) => self.version(name, version),
            (None, Some(adapter)) => self.model(&adapter.model),
            (None, None) => self.newest(name),
        };
        let model = model.filter(|model| model.name == name).ok_or(Unknown)?;
        if adapter.is_some_and(|adapter| adapter.model != model.id()) {
            return Err(Unknown);
        }
        Ok(Target {
            model,
            adapter,
            access,
        })
    }

    /// Finds the plain service that `institution` may call under `name`.
    ///
    /// # Errors
    ///
    /// `Unknown` if there is no such service or the institution may not call it.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::catalogue::{Catalogue, Unknown};
    ///
    /// let catalogue = Catalogue::default();
    /// let found = catalogue.resolve_service(&"cascade".into(), "shopdesk");
    /// assert_eq!(found, Err(Unknown));
    /// ```
    pub fn resolve_service(
        &self,
        institution: &id::Institution,
        name: &str,
    ) -> Result<(&Service, &Access), Unknown> {
        let access = self.access(institution, name)?;
        match self.get(&Key::Service(id::Service::from(name))) {
            Some(Item::Service(service)) if service.name.as_str() == name => Ok((service, access)),
            _ => Err(Unknown),
        }
    }

    /// Returns the model versions that `institution` may call.
    pub fn models_of<'a>(
        &'a self,
        institution: &'a id::Institution,
    ) -> impl Iterator<Item = &'a Model> {
        self.items().filter_map(|item| match item {
            Item::Model(model) => {
                let access = self.access(institution, &model.name);
                access.is_ok().then_some(model)
            }
            _ => None,
        })
    }

    fn access(&self, institution: &id::Institution, name: &str) -> Result<&Access, Unknown> {
        let key = Key::Access {
            institution: institution.clone(),
            target: name.to_owned(),
        };
        match self.get(&key) {
            // Keys are joined with slashes, so a name with a slash could produce the key of another
            // institution's item.
            Some(Item::Access(access))
                if access.institution == *institution && access.target == name =>
            {
                Ok(access)
            }
            _ => Err(Unknown),
        }
    }

    fn adapter(&self, name: &str) -> Result<&Adapter, Unknown> {
        match self.get(&Key::Adapter(id::Adapter::from(name))) {
            Some(Item::Adapter(adapter)) => Ok(adapter),
            _ => Err(Unknown),
        }
    }

    fn version(&self, name: &str, version: u32) -> Option<&Model> {
        self.model(&id::Model::from(format!("{name}@{version}").as_str()))
    }

    fn model(&self, id: &id::Model) -> Option<&Model> {
        match self.get(&Key::Model(id.clone())) {
            Some(Item::Model(model)) => Some(model),
            _ => None,
        }
    }

    fn newest(&self, name: &str) -> Option<&Model> {
        let prefix = format!("model/{name}@");
        let versions = self.items.range(prefix.clone()..);
        versions
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter_map(|(_, item)| match item {
                Item::Model(model) if model.name == name => Some(model),
                _ => None,
            })
            .max_by_key(|model| model.version)
    }
}

impl Service {
    /// Returns whether a call may be repeated, which is so unless the service lists it in
    /// `non_idempotent`.
    ///
    /// Listed paths are prefixes. The query is not compared.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::catalogue::{Call, Service};
    ///
    /// let service = Service {
    ///     name: "shopdesk".into(),
    ///     pool: "shopdesk".into(),
    ///     non_idempotent: vec![Call {
    ///         method: "POST".to_owned(),
    ///         path: "/orders".to_owned(),
    ///     }],
    ///     stale_limit_s: None,
    /// };
    /// assert!(!service.is_idempotent("POST", "/orders/17?urgent=1"));
    /// assert!(service.is_idempotent("GET", "/orders/17"));
    /// ```
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        !self
            .non_idempotent
            .iter()
            .any(|call| covers(call, method, path))
    }
}

fn covers(call: &Call, method: &str, path: &str) -> bool {
    call.method == method && path.starts_with(&call.path)
}

/// Parses a version. Only the form in which versions are printed is accepted, so that each version
/// has a single spelling.
fn parse_version(text: &str) -> Result<u32, Unknown> {
    let version: u32 = text.parse().map_err(|_| Unknown)?;
    if version.to_string() == text {
        Ok(version)
    } else {
        Err(Unknown)
    }
}
