//! The retry budget: retries stay a small part of the requests, so that they can't multiply them.

use std::time::Duration;

use crate::timer::Time;

/// Length of a cell of the window.
const CELL: Duration = Duration::from_secs(1);

/// Cells of the window.
const CELLS: usize = 10;

/// Retries in parts of the requests of the window.
const SHARE: f64 = 0.1;

/// Retries that are always allowed in the window, one a second.
const FLOOR: u32 = CELLS as u32;

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries over a sliding window.
#[derive(Debug, Default)]
pub struct Budget {
    cells: [Cell; CELLS],
}

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, now: Time) {
        self.cell(now).requests += 1;
    }

    /// Returns whether a retry is within the budget, and counts it if so.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{entry::budget::Budget, timer::Time};
    ///
    /// let mut budget = Budget::default();
    /// let granted = (0..100).filter(|_| budget.retry(Time::ZERO)).count();
    /// assert_eq!(granted, 10);
    /// ```
    pub fn retry(&mut self, now: Time) -> bool {
        let newest = number(now);
        let window = CELLS as u64;
        let recent = self
            .cells
            .iter()
            .filter(|cell| cell.number + window > newest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), cell| {
            (requests + cell.requests, retries + cell.retries)
        });
        let allowed = u32::max(FLOOR, (f64::from(requests) * SHARE) as u32);
        if retries >= allowed {
            return false;
        }
        self.cell(now).retries += 1;
        true
    }

    fn cell(&mut self, now: Time) -> &mut Cell {
        let number = number(now);
        let index = (number % CELLS as u64) as usize;
        let cell = &mut self.cells[index];
        if cell.number != number {
            *cell = Cell {
                number,
                ..Cell::default()
            };
        }
        cell
    }
}

fn number(now: Time) -> u64 {
    now.as_millis() / CELL.as_millis() as u64
}
