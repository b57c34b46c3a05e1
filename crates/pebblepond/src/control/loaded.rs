//! The initial state of a node: loaded from its disk, or empty for a node without a disk.

use crate::kernel::StartError;
use crate::storage::{Identity, OpenedStore, Storage, StorageEvent};
use control_state::ControlState;
use raft::PersistentState;
use rand::Rng;
use tokio::sync::mpsc;

/// The initial state of a node.
pub(super) struct Loaded {
    pub(super) identity: Identity,
    pub(super) saved: PersistentState,
    pub(super) state: ControlState,
    pub(super) is_empty: bool,
    pub(super) storage: Option<Storage>,
}

impl Loaded {
    pub(super) fn from_disk(
        directory: &str,
        events: mpsc::UnboundedSender<StorageEvent>,
    ) -> Result<Loaded, StartError> {
        let opened = Storage::open(directory, events)?;
        if let Some(why) = &opened.damage {
            log::error!(
                "event=store_damaged folder={directory} why=\"{why}\": set aside as prompter.redb.damaged, joining as a new node"
            );
        }
        let OpenedStore {
            identity,
            saved,
            state,
            is_empty,
            storage,
            ..
        } = opened;
        Ok(Loaded {
            identity,
            saved,
            state,
            is_empty,
            storage: Some(storage),
        })
    }

    pub(super) fn without_disk() -> Loaded {
        let id = rand::thread_rng().gen_range(1..u64::MAX);
        Loaded {
            identity: Identity { id, cluster: 0 },
            saved: PersistentState::default(),
            state: ControlState::default(),
            is_empty: true,
            storage: None,
        }
    }
}
