//! Emergency level: the severity of the state of the whole system, whatever its cause.

use crate::constants::{EMERGENCY_CHECKS, EMERGENCY_LEVELS, EMERGENCY_MIN_ATTEMPTS, RECENT_RETENTION};

/// Severity of the state of the whole system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EmergencyLevel {
    #[default]
    /// Few or no attempts fail.
    Calm,
    /// Some attempts fail.
    One,
    /// Many attempts fail; no rollout is promoted.
    Two,
    /// Most attempts fail; rollouts are rolled back.
    Three,
}

/// Derives the emergency level from the outcomes of attempts, whatever the workers' own health
/// reports say.
#[derive(Clone, Debug, Default)]
pub struct EmergencyTracker {
    attempts: f64,
    failed: f64,
    observed: EmergencyLevel,
    checks: u32,
    level: EmergencyLevel,
}

impl EmergencyTracker {
    /// Adds a node's counts of served and failed attempts on a worker.
    pub fn add(&mut self, served: u64, failed: u64) {
        self.attempts += (served + failed) as f64;
        self.failed += failed as f64;
    }

    /// Performs a check and returns the level. Levels 2 and 3 take effect only after several
    /// consecutive checks.
    pub fn check(&mut self) -> EmergencyLevel {
        let failed_fraction = self.failed / self.attempts.max(1.0);
        let current = match () {
            () if self.attempts < EMERGENCY_MIN_ATTEMPTS => EmergencyLevel::Calm,
            () if failed_fraction >= EMERGENCY_LEVELS[2] => EmergencyLevel::Three,
            () if failed_fraction >= EMERGENCY_LEVELS[1] => EmergencyLevel::Two,
            () if failed_fraction >= EMERGENCY_LEVELS[0] => EmergencyLevel::One,
            () => EmergencyLevel::Calm,
        };
        self.checks = if current == self.observed {
            self.checks + 1
        } else {
            1
        };
        self.observed = current;
        if current < EmergencyLevel::Two || self.checks >= EMERGENCY_CHECKS {
            self.level = current;
        }
        self.attempts *= RECENT_RETENTION;
        self.failed *= RECENT_RETENTION;
        self.level
    }
}
