//! Bearer tokens and their owners.

use std::{
    collections::HashMap,
    fmt, //
};

use hyper::{
    HeaderMap,
    header::AUTHORIZATION, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Length of a token's digest in bytes.
const DIGEST_BYTES: usize = 32;

/// Digests of bearer tokens, each with its owner, such as an institution or a client account.
///
/// A look-up costs one digest and one access to a map, however many tokens there are. Its time
/// reveals no token: what it compares are SHA-256 digests, and a caller can't choose a token whose
/// digest agrees with a known one in more than a few bits. Even a digest that was learned bit by bit
/// would not give its token. Which digests share a bucket depends on a random secret of the process.
///
/// Of tokens that are given twice, the last owner holds. Digests are never formatted.
#[derive(Clone, PartialEq)]
pub struct Credentials<T> {
    owners: HashMap<[u8; DIGEST_BYTES], T>,
}

impl<T> fmt::Debug for Credentials<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credentials")
            .field("tokens", &self.owners.len())
            .finish_non_exhaustive()
    }
}

impl<T> Default for Credentials<T> {
    fn default() -> Self {
        Self {
            owners: HashMap::new(),
        }
    }
}

impl<T: Clone> Credentials<T> {
    /// Creates the set from SHA-256 digests in hex.
    ///
    /// # Errors
    ///
    /// Returns the index of the first digest that is not 64 hex digits.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::credential::Credentials;
    ///
    /// // Digest of the token "abc".
    /// let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    /// let credentials = Credentials::new([(digest, "cascade")]).unwrap();
    /// assert_eq!(credentials.find("abc"), Some("cascade"));
    /// assert_eq!(credentials.find("abd"), None);
    /// ```
    pub fn new<'a>(digests: impl IntoIterator<Item = (&'a str, T)>) -> Result<Self, usize> {
        let parsed = digests.into_iter().enumerate();
        let owners = parsed
            .map(|(index, (hex, owner))| match parse_digest(hex) {
                Some(digest) => Ok((digest, owner)),
                None => Err(index),
            })
            .collect::<Result<_, _>>()?;
        Ok(Self { owners })
    }

    /// Adds a token. Returns its owner so far, if it had one.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::credential::Credentials;
    ///
    /// let mut credentials = Credentials::default();
    /// assert_eq!(credentials.insert("abc", "cascade"), None);
    /// assert_eq!(credentials.insert("abc", "tengis"), Some("cascade"));
    /// assert_eq!(credentials.find("abc"), Some("tengis"));
    /// ```
    pub fn insert(&mut self, token: &str, owner: T) -> Option<T> {
        self.owners.insert(digest(token), owner)
    }

    /// Returns the owner of `token`.
    pub fn find(&self, token: &str) -> Option<T> {
        self.owners.get(&digest(token)).cloned()
    }

    /// Returns the number of tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::credential::Credentials;
    ///
    /// assert_eq!(Credentials::<u8>::default().count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.owners.len()
    }
}

fn digest(token: &str) -> [u8; DIGEST_BYTES] {
    Sha256::digest(token.as_bytes()).into()
}

/// Returns the token of an `Authorization` header with the scheme `Bearer`.
///
/// # Examples
///
/// ```
/// use chestnuthub::credential::bearer;
///
/// assert_eq!(bearer("Bearer abc"), Some("abc"));
/// assert_eq!(bearer("Basic abc"), None);
/// ```
pub fn bearer(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Returns the bearer token of a request, if it has exactly one `Authorization` header. Of several
/// ones two readers could use different values.
///
/// # Examples
///
/// ```
/// use chestnuthub::credential;
/// use hyper::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.append("authorization", "bearer abc".parse().unwrap());
/// assert_eq!(credential::token(&headers), Some("abc"));
/// headers.append("authorization", "bearer abc".parse().unwrap());
/// assert_eq!(credential::token(&headers), None);
/// ```
pub fn token(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let first = values.next()?;
    match values.next() {
        Some(_) => None,
        None => bearer(first.to_str().ok()?),
    }
}

fn parse_digest(hex: &str) -> Option<[u8; DIGEST_BYTES]> {
    let digits = hex.as_bytes();
    if digits.len() != 2 * DIGEST_BYTES {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
    }
    Some(digest)
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
