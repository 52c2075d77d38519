//! Position of a follower in the platform's store.

/// Position of a follower in a topic: the era of the store that it has seen, and the offset of the
/// next record to read.
///
/// The store may come back from a copy that is some seconds old. Its era rises then, and it gives
/// out the offsets of lost records again, so an offset of an earlier era means nothing. The
/// follower then starts over from the newest record of each key.
///
/// # Examples
///
/// ```
/// use chestnuthub::watch::Cursor;
///
/// let mut cursor = Cursor::default();
/// assert_eq!(cursor.next(), None);
/// cursor.advance(1, 40);
/// assert_eq!(cursor.next(), Some(40));
/// cursor.advance(2, 38);
/// assert_eq!(cursor.next(), None);
/// ```
#[derive(Debug, Default)]
pub struct Cursor {
    era: u64,
    next: Option<u64>,
}

impl Cursor {
    /// Returns the offset to read from, or `None` to read the newest record of each key.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Records a read in this era of the store after which `next` is the offset of the next record.
    pub fn advance(&mut self, era: u64, next: u64) {
        // A read from an offset of an earlier era may have missed records before that offset.
        let is_continuous = self.next.is_none() || era == self.era;
        self.next = is_continuous.then_some(next);
        self.era = self.era.max(era);
    }

    /// Makes the next read start over from the newest record of each key.
    pub fn restart(&mut self) {
        self.next = None;
    }
}
