//! The emergency level: how severe the state of the whole system is, whatever caused it.

use crate::constants::{EMERGENCY_CHECKS, EMERGENCY_LEVELS, EMERGENCY_MIN_ATTEMPTS, RECENT_RETENTION};

/// How severe the state of the whole system is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EmergencyLevel {
    #[default]
    /// Nothing unusual.
    Calm,
    /// Some attempts fail.
    One,
    /// Nothing is promoted.
    Two,
    /// Rollouts go back.
    Three,
}

/// Derives the emergency level from how attempts end, whatever the workers say.
#[derive(Clone, Debug, Default)]
pub struct EmergencyTracker {
    tries: f64,
    failed: f64,
    observed: EmergencyLevel,
    checks: u32,
    level: EmergencyLevel,
}

impl EmergencyTracker {
    /// Adds what a node has observed of a worker.
    pub fn add(&mut self, served: u64, failed: u64) {
        self.tries += (served + failed) as f64;
        self.failed += failed as f64;
    }

    /// One check; levels 2 and 3 count once they have been seen a few times.
    pub fn check(&mut self) -> EmergencyLevel {
        let part = self.failed / self.tries.max(1.0);
        let now = match () {
            () if self.tries < EMERGENCY_MIN_ATTEMPTS => EmergencyLevel::Calm,
            () if part >= EMERGENCY_LEVELS[2] => EmergencyLevel::Three,
            () if part >= EMERGENCY_LEVELS[1] => EmergencyLevel::Two,
            () if part >= EMERGENCY_LEVELS[0] => EmergencyLevel::One,
            () => EmergencyLevel::Calm,
        };
        self.checks = if now == self.observed { self.checks + 1 } else { 1 };
        self.observed = now;
        if now < EmergencyLevel::Two || self.checks >= EMERGENCY_CHECKS {
            self.level = now;
        }
        self.tries *= RECENT_RETENTION;
        self.failed *= RECENT_RETENTION;
        self.level
    }
}
