//! Tokens that a completion produces.

use std::hash::Hasher;

use serde_json::Value;
use siphasher::sip::SipHasher13;

/// Returns the token with an index of the response to the messages.
///
/// Responses to different messages have different tokens, so that a test can tell to which request
/// a response belongs.
///
/// # Examples
///
/// ```
/// use chestnuthub::emulator::token;
/// use serde_json::json;
///
/// let messages = json!([{ "role": "user", "content": "Check this manifest." }]);
/// assert_ne!(token(&messages, 0), token(&messages, 1));
/// assert_ne!(token(&messages, 0), token(&json!([]), 0));
/// ```
pub fn token(messages: &Value, index: u64) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write(messages.to_string().as_bytes());
    format!("{:016x}.{index} ", hasher.finish())
}
