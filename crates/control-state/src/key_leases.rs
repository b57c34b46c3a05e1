//! Applies changes of key leases: the holder of each range and the highest fencing token.

use crate::state::ControlState;
use protocol::KeyLease;
use std::sync::Arc;

impl ControlState {
    /// Inserts leases. Each replaces the older leases within its range.
    pub(crate) fn update_key_leases(&mut self, leases: Vec<KeyLease>) {
        for lease in leases {
            self.highest_fencing_token = self.highest_fencing_token.max(lease.fencing_token);
            self.put_key_lease(lease);
        }
        self.drop_obsolete_key_leases();
    }

    /// Removes the leases of services that are no longer partitioned, once no worker holds any of
    /// their keys. Until then a worker may still use its keys whatever the configuration says, and
    /// the service may become partitioned again.
    pub(crate) fn drop_obsolete_key_leases(&mut self) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let services = &configuration.services;
        let is_partitioned = |name: &str| services.get(name).is_some_and(|s| s.partitioned);
        self.key_leases.retain(|service, table| {
            is_partitioned(service) || table.values().any(|lease| !lease.worker.is_empty())
        });
    }

    /// Inserts a range and removes the parts of older ranges that it covers.
    fn put_key_lease(&mut self, new: KeyLease) {
        let table = Arc::make_mut(self.key_leases.entry(new.service.clone()).or_default());
        let preceding = table.range(..=new.from).next_back();
        let first = preceding.map_or(new.from, |(from, _)| *from);
        let overlapping: Vec<Arc<KeyLease>> = table
            .range(first..=new.to)
            .map(|(_, lease)| lease.clone())
            .filter(|lease| lease.to >= new.from)
            .collect();
        for old in overlapping {
            table.remove(&old.from);
            let remaining = |from, to| {
                let lease = KeyLease {
                    from,
                    to,
                    ..(*old).clone()
                };
                (from, Arc::new(lease))
            };
            table.extend((old.from < new.from).then(|| remaining(old.from, new.from - 1)));
            table.extend((old.to > new.to).then(|| remaining(new.to + 1, old.to)));
        }
        table.insert(new.from, Arc::new(new));
    }
}
