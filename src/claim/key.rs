//! Idempotency keys and the digests that represent them in the log.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};
use uuid::{
    Uuid,
    Variant, //
};

use crate::id;

/// Maximum age of an accepted key. The log keeps records for at least [`MIN_RETENTION`], so every
/// claim of an accepted key can still be read.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(20 * 3_600);

/// Maximum time by which a key may lie in the future, to allow for clients whose clocks are ahead.
pub const MAX_KEY_LEAD: Duration = Duration::from_secs(5 * 60);

/// Minimum retention of the log: the maximum key age, the maximum lead and time for attempts to
/// end.
pub const MIN_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time span whose keys share a set of [`PARTITIONS`] streams.
pub const BUCKET_SPAN: Duration = Duration::from_secs(600);

/// Number of streams over which the keys of one time span are distributed.
pub const PARTITIONS: u8 = 8;

/// SHA-256 digest, written to the log in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a sequence of byte strings. The length of each part is hashed too, so
    /// that the boundaries between parts matter.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::claim::Digest;
    ///
    /// assert_ne!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"a", b"bc"]));
    /// ```
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Returns the first 16 bytes.
    pub(super) fn prefix(&self) -> [u8; 16] {
        let [prefix, _] = self.0.as_chunks::<16>().0 else {
            return [0; 16];
        };
        *prefix
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let bytes = from_hex(&text).ok_or("digest is not hexadecimal")?;
        let bytes = bytes.try_into().map_err(|_| "digest has a wrong length")?;
        Ok(Self(bytes))
    }
}

/// Decodes hexadecimal digits; returns `None` for other characters or an odd number of digits.
pub(super) fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text
        .chars()
        .map(|digit| digit.to_digit(16))
        .collect::<Option<Vec<_>>>()?;
    let (pairs, rest) = digits.as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    let bytes = pairs
        .iter()
        .map(|[high, low]| u8::try_from(high * 16 + low));
    bytes.collect::<Result<_, _>>().ok()
}

/// Reason for rejecting a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The key is not a version 7 UUID.
    Malformed,
    /// The key's timestamp is too old or too far in the future.
    Expired,
}

/// An accepted idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    millis: u64,
    digest: Digest,
}

impl Key {
    /// Validates a client's key; `now` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the key is not a version 7 UUID, and `Expired` if its timestamp is
    /// more than [`MAX_KEY_AGE`] old or more than [`MAX_KEY_LEAD`] in the future.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::claim::Key;
    /// use uuid::Uuid;
    ///
    /// let key = "01890a5d-ac96-774b-bcce-b302099a8057".parse::<Uuid>()?;
    /// let now = 1_688_137_641_110;
    /// let one = Key::accept(key, &"tengis".into(), now).unwrap();
    /// let other = Key::accept(key, &"cascade".into(), now).unwrap();
    /// assert_ne!(one.digest(), other.digest());
    /// # Ok::<(), uuid::Error>(())
    /// ```
    pub fn accept(key: Uuid, institution: &id::Institution, now: u64) -> Result<Self, Error> {
        if key.get_version_num() != 7 || key.get_variant() != Variant::RFC4122 {
            return Err(Error::Malformed);
        }
        let [a, b, c, d, e, f, ..] = *key.as_bytes();
        let millis = u64::from_be_bytes([0, 0, a, b, c, d, e, f]);
        let window = u64::try_from(MAX_KEY_AGE.as_millis()).unwrap_or(u64::MAX);
        let lead = u64::try_from(MAX_KEY_LEAD.as_millis()).unwrap_or(u64::MAX);
        if millis < now.saturating_sub(window) || millis > now.saturating_add(lead) {
            return Err(Error::Expired);
        }
        // Hashing the institution as well keeps the keys of different institutions apart.
        let digest = Digest::of(&[institution.as_str().as_bytes(), key.as_bytes()]);
        Ok(Self { millis, digest })
    }

    /// Returns the digest that represents the key in the log.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of the time span ([`BUCKET_SPAN`]) in which the key was created.
    pub fn bucket(&self) -> u64 {
        self.millis / u64::try_from(BUCKET_SPAN.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the name of the stream that holds the key's records.
    pub fn stream(&self, service: &id::Service) -> String {
        let partition = self.digest.0[0] % PARTITIONS;
        format!("claims.{service}.{}.{partition}", self.bucket())
    }
}
