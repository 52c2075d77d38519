//! Prompt parts that servers have read, as far as this process sent them.

use std::collections::VecDeque;

/// Prompt parts that are remembered for each server.
const REMEMBERED: usize = 192;

/// Part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u64,
}

/// Prompt parts that a server has read lately, the most recent last.
#[derive(Debug, Default)]
pub struct Prefixes {
    seen: VecDeque<u64>,
}

impl Prefixes {
    /// Remembers the parts of a prompt that was sent to the server for a model.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::dispatch::{Part, Prefixes};
    ///
    /// let prompt = [Part { id: 1, tokens: 100 }, Part { id: 2, tokens: 50 }];
    /// let mut prefixes = Prefixes::default();
    /// prefixes.remember("m", &prompt);
    /// assert_eq!(prefixes.overlap("m", &prompt), 150);
    /// assert_eq!(prefixes.overlap("n", &prompt), 0);
    /// ```
    pub fn remember(&mut self, model: &str, prompt: &[Part]) {
        for key in keys(model, prompt) {
            self.seen.retain(|seen| *seen != key);
            self.seen.push_back(key);
        }
        while self.seen.len() > REMEMBERED {
            self.seen.pop_front();
        }
    }

    /// Returns the tokens at the start of a prompt that the server has read for a model.
    pub fn overlap(&self, model: &str, prompt: &[Part]) -> u64 {
        let keys = keys(model, prompt);
        let known = keys
            .zip(prompt)
            .take_while(|(key, _)| self.seen.contains(key));
        known.map(|(_, part)| part.tokens).sum()
    }

    /// Forgets everything, as after a restart of the server.
    pub fn clear(&mut self) {
        self.seen.clear();
    }
}

/// Returns a key for each part that stands for the model and all parts up to it.
fn keys<'a>(model: &str, prompt: &'a [Part]) -> impl Iterator<Item = u64> + 'a {
    let start = model.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    prompt.iter().scan(start, |hash, part| {
        *hash = part.id.to_le_bytes().into_iter().fold(*hash, mix);
        Some(*hash)
    })
}

/// One step of the FNV-1a hash.
fn mix(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}
