//! The requests that are being served: from their arrival until their answers are handed over.

use std::cell::Cell;
use std::rc::Rc;

/// Counts requests that are being served.
#[derive(Clone, Default)]
pub(super) struct RunningRequests(Rc<Cell<u64>>);

impl RunningRequests {
    /// How many there are.
    pub(super) fn count(&self) -> u64 {
        self.0.get()
    }

    /// Counts one more, for as long as the guard lives.
    pub(super) fn begin(&self) -> RunningGuard {
        self.0.set(self.0.get() + 1);
        RunningGuard(self.0.clone())
    }
}

/// Counts a request as being served for as long as it lives.
pub(super) struct RunningGuard(Rc<Cell<u64>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
