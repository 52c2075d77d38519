//! Bounds the bytes that a process holds for its clients.
//!
//! The load: many clients that send large bodies or read slowly at the same time, at a process with
//! little memory.

use std::{
    cell::Cell,
    rc::Rc, //
};

/// Bytes that a process holds for clients, and their limit.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::Memory;
///
/// let memory = Memory::new(100);
/// let body = memory.hold();
/// assert!(body.try_add(80));
/// let other = memory.hold();
/// assert!(!other.try_add(30));
/// drop(body);
/// assert!(other.try_add(30));
/// ```
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    held: Cell<usize>,
}

impl Memory {
    /// Creates the record of a process that holds nothing, with a limit in bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
        })
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns whether half as much again is held as the limit allows, by the first bytes of each
    /// client, so that nothing new should begin.
    pub fn is_full(&self) -> bool {
        self.held.get() >= self.limit + self.limit / 2
    }

    /// Begins to hold bytes for one client, none at first.
    pub fn hold(self: &Rc<Self>) -> Hold {
        Hold {
            memory: self.clone(),
            bytes: Cell::new(0),
        }
    }
}

/// Bytes that are held for one client. They are given back when it is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Rc<Memory>,
    bytes: Cell<usize>,
}

impl Hold {
    /// Holds further bytes if the limit allows; returns whether it did.
    pub fn try_add(&self, bytes: usize) -> bool {
        let has_room = self.memory.held.get() + bytes <= self.memory.limit;
        if has_room {
            self.add(bytes);
        }
        has_room
    }

    /// Returns whether further bytes may be held for a client that may have at most `own_limit`. The
    /// first ones always may, so that no client waits for another one.
    pub fn may_add(&self, bytes: usize, own_limit: usize) -> bool {
        let own = self.bytes.get();
        let has_room = self.memory.held.get() + bytes <= self.memory.limit;
        own == 0 || (has_room && own + bytes <= own_limit)
    }

    /// Holds further bytes.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.memory.held.set(self.memory.held.get() + bytes);
    }

    /// Gives bytes back.
    pub fn remove(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - bytes);
        self.memory.held.set(self.memory.held.get() - bytes);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.remove(self.bytes.get());
    }
}
