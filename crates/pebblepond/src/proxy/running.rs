//! Count of the requests that are being served, from their arrival until their responses have been
//! handed to the kernel.

use std::cell::Cell;
use std::rc::Rc;

/// Counts requests that are being served.
#[derive(Clone, Default)]
pub(super) struct RunningRequests(Rc<Cell<u64>>);

impl RunningRequests {
    /// Returns the number of requests that are being served.
    pub(super) fn count(&self) -> u64 {
        self.0.get()
    }

    /// Counts one more request until the returned guard is dropped.
    pub(super) fn begin(&self) -> RunningGuard {
        self.0.set(self.0.get() + 1);
        RunningGuard(self.0.clone())
    }
}

/// Counts a request as being served until it is dropped.
pub(super) struct RunningGuard(Rc<Cell<u64>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
