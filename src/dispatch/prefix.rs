//! Tracks the prompt parts that servers have in their prefix caches, as far as this process sent
//! them.

use std::collections::VecDeque;

/// Maximum number of prompt parts recorded for each server.
const MAX_PARTS: usize = 192;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens of the part.
    pub tokens: u64,
}

/// Prompt parts that a server has processed recently.
#[derive(Debug, Default)]
pub struct Prefixes {
    /// Keys of the parts, the most recent last.
    recent: VecDeque<u64>,
}

impl Prefixes {
    /// Records the parts of a prompt that was sent to the server for a model.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::dispatch::{Part, Prefixes};
    ///
    /// let prompt = [Part { id: 1, tokens: 100 }, Part { id: 2, tokens: 50 }];
    /// let mut prefixes = Prefixes::default();
    /// prefixes.record("m", &prompt);
    /// assert_eq!(prefixes.overlap("m", &prompt), 150);
    /// assert_eq!(prefixes.overlap("n", &prompt), 0);
    /// ```
    pub fn record(&mut self, model: &str, prompt: &[Part]) {
        for key in keys(model, prompt) {
            self.recent.retain(|other| *other != key);
            self.recent.push_back(key);
        }
        while self.recent.len() > MAX_PARTS {
            self.recent.pop_front();
        }
    }

    /// Returns the number of leading prompt tokens that the server has processed for a model.
    pub fn overlap(&self, model: &str, prompt: &[Part]) -> u64 {
        let keys = keys(model, prompt);
        let known = keys
            .zip(prompt)
            .take_while(|(key, _)| self.recent.contains(key));
        known.map(|(_, part)| part.tokens).sum()
    }

    /// Removes all parts; the server's cache is empty after a restart.
    pub fn clear(&mut self) {
        self.recent.clear();
    }
}

/// Returns one key per part: the hash of the model and of all parts up to and including it.
fn keys<'a>(model: &str, prompt: &'a [Part]) -> impl Iterator<Item = u64> + 'a {
    let start = model.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    prompt.iter().scan(start, |hash, part| {
        *hash = part.id.to_le_bytes().into_iter().fold(*hash, mix);
        Some(*hash)
    })
}

/// Computes one step of the FNV-1a hash.
fn mix(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}
