//! Records of the claim streams, encoded as JSON lines. One append may contain several records.

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use super::{
    Digest,
    key::from_hex, //
};

/// Maximum size of a response body that is stored in the log, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// Body of a response, written to the log as text if it is valid UTF-8 and in hexadecimal
/// otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "Encoded", into = "Encoded")]
pub struct Body(pub Vec<u8>);

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Encoded {
    Text(String),
    Hex { hex: String },
}

impl From<Body> for Encoded {
    fn from(body: Body) -> Self {
        match String::from_utf8(body.0) {
            Ok(text) => Self::Text(text),
            Err(error) => {
                let bytes = error.as_bytes().iter();
                let hex = bytes.map(|byte| format!("{byte:02x}")).collect();
                Self::Hex { hex }
            }
        }
    }
}

impl TryFrom<Encoded> for Body {
    type Error = &'static str;

    fn try_from(encoded: Encoded) -> Result<Self, Self::Error> {
        match encoded {
            Encoded::Text(text) => Ok(Self(text.into_bytes())),
            Encoded::Hex { hex } => from_hex(&hex).map(Self).ok_or("body is not hexadecimal"),
        }
    }
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body; absent if it was too large to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

impl Response {
    /// Returns the response as it is stored in the log: without its body if that is larger than
    /// [`MAX_STORED_BODY_BYTES`].
    pub fn stored(&self) -> Self {
        let mut stored = self.clone();
        stored
            .body
            .take_if(|body| body.0.len() > MAX_STORED_BODY_BYTES);
        stored
    }
}

/// A record of a claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Claims the right to run a call.
    Claim {
        /// Unique id of the attempt, UUID v4.
        attempt: Uuid,
        /// Digest of institution and key.
        key: Digest,
        /// Digest of the request's method, path and body.
        fingerprint: Digest,
        /// Offset of the `Abandon` that freed the key, 0 if the key has no valid record.
        replaces: u64,
    },
    /// Frees the key; written by the agent that owns the attempt, whose call was never sent.
    Abandon {
        /// The attempt.
        attempt: Uuid,
        /// Digest of institution and key.
        key: Digest,
    },
    /// The call's response.
    Result {
        /// The attempt.
        attempt: Uuid,
        /// Digest of institution and key.
        key: Digest,
        /// The response.
        #[serde(flatten)]
        response: Response,
    },
}

impl Record {
    /// Returns the attempt that the record belongs to.
    pub fn attempt(&self) -> Uuid {
        match self {
            Self::Claim { attempt, .. }
            | Self::Abandon { attempt, .. }
            | Self::Result { attempt, .. } => *attempt,
        }
    }

    /// Returns the key that the record is about.
    pub fn key(&self) -> Digest {
        match self {
            Self::Claim { key, .. } | Self::Abandon { key, .. } | Self::Result { key, .. } => *key,
        }
    }

    /// Returns whether both records are of the same kind and belong to the same attempt.
    pub fn repeats(&self, other: &Self) -> bool {
        self.attempt() == other.attempt()
            && std::mem::discriminant(self) == std::mem::discriminant(other)
    }

    /// Encodes the record as one line, the line break included.
    pub fn encode(&self) -> String {
        // No value of a record fails to encode as JSON.
        let mut line = serde_json::to_string(self).unwrap_or_default();
        line.push('\n');
        line
    }
}

/// Decodes the records of one append, each with its line number, counted from 0. Lines that are not
/// records are skipped; all readers do so and thus compute the same state.
///
/// # Examples
///
/// ```
/// use chestnuthub::claim::record;
///
/// assert_eq!(record::decode("{}\nno record\n").count(), 0);
/// ```
pub fn decode(body: &str) -> impl Iterator<Item = (u32, Record)> {
    let lines = (0..).zip(body.lines());
    lines.filter_map(|(index, line)| Some((index, serde_json::from_str(line).ok()?)))
}
