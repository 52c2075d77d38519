//! Typed names and identifiers.

use std::{
    borrow::Borrow,
    fmt,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// An institution: a customer with its own contract.
    Institution
);
name!(
    /// A model version, written `name@version`.
    Model
);
name!(
    /// An adapter of a model.
    Adapter
);
name!(
    /// A plain service: one that is not a model.
    Service
);
name!(
    /// An instance, by its name in the instance list. An agent has the same name as its
    /// backend server.
    Instance
);
name!(
    /// A group of backend servers that serve the same models or the same plain service.
    Pool
);
name!(
    /// A request id, which stays the same from the caller port to the backend server.
    Request
);
