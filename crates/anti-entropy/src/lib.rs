//! Anti-entropy: two copies of the control state are compared by digests over ranges of their rows,
//! and ranges that differ are repaired from the newer copy.
//!
//! A node sends the [`digests`] of its copy. A peer whose copy is not older answers with
//! [`repair_for`] these digests, and the node applies the answer with
//! [`apply_repair_if_unchanged`].

use control_state::ControlState;
use prost::Message;
use protocol::{ControlStateImage, RangeDigests, Repair};

/// Range of the configuration and the command history.
const CONFIGURATION: usize = 0;
/// Range of the evacuations.
const EVACUATIONS: usize = 1;
/// Range of the placement.
const PLACEMENT: usize = 2;
/// Range of the retry allowances and all other small tables.
const SMALL_TABLES: usize = 3;
/// Number of ranges that hold complete tables.
const TABLE_RANGES: usize = 4;
/// Number of ranges over which the workers are distributed, and number of those for the key leases.
const SPREAD_RANGES: usize = 6;
/// Number of all ranges of a copy.
pub const RANGES: usize = TABLE_RANGES + 2 * SPREAD_RANGES;

/// Initial value of the hash (that of FNV-1a).
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the hash (that of FNV-1a).
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a final mixing step. Nodes compare its values, so it must never change.
fn hash(mut hash: u64, bytes: &[u8]) -> u64 {
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME);
    }
    hash ^ (hash >> 29)
}

fn range_of_worker(id: &str) -> usize {
    TABLE_RANGES + (hash(HASH_BASIS, id.as_bytes()) % SPREAD_RANGES as u64) as usize
}

fn range_of_key_lease(service: &str, from: u32) -> usize {
    let hash = hash(hash(HASH_BASIS, service.as_bytes()), &from.to_le_bytes());
    TABLE_RANGES + SPREAD_RANGES + (hash % SPREAD_RANGES as u64) as usize
}

/// Copies the tables of the selected ranges.
fn copy_tables(from: &ControlStateImage, to: &mut ControlStateImage, is_selected: &impl Fn(usize) -> bool) {
    if is_selected(CONFIGURATION) {
        to.version = from.version;
        to.command_history = from.command_history.clone();
        to.configuration = from.configuration.clone();
    }
    if is_selected(EVACUATIONS) {
        to.evacuated = from.evacuated.clone();
        to.ended_evacuations = from.ended_evacuations.clone();
    }
    if is_selected(PLACEMENT) {
        to.fractions = from.fractions.clone();
    }
    if is_selected(SMALL_TABLES) {
        to.retry_allowances = from.retry_allowances.clone();
        to.retry_slack = from.retry_slack;
        to.ejected = from.ejected.clone();
        to.warmup_groups = from.warmup_groups.clone();
        to.rollouts = from.rollouts.clone();
        to.kill_switch = from.kill_switch.clone();
        to.highest_fencing_token = from.highest_fencing_token;
    }
}

/// Returns the rows of the selected ranges of an image.
fn select_ranges(image: &ControlStateImage, is_selected: impl Fn(usize) -> bool) -> ControlStateImage {
    let mut part = ControlStateImage {
        index: image.index,
        ..Default::default()
    };
    copy_tables(image, &mut part, &is_selected);
    let workers = image.workers.iter();
    let workers = workers.filter(|worker| is_selected(range_of_worker(&worker.id)));
    part.workers = workers.cloned().collect();
    let key_leases = image.key_leases.iter();
    let key_leases = key_leases.filter(|lease| is_selected(range_of_key_lease(&lease.service, lease.from)));
    part.key_leases = key_leases.cloned().collect();
    part
}

/// Returns the digests of a copy.
pub fn digests(state: &ControlState) -> RangeDigests {
    let image = state.image();
    let ranges = (0..RANGES)
        .map(|range| {
            let mut part = select_ranges(&image, |r| r == range);
            part.index = 0;
            hash(HASH_BASIS, &part.encode_to_vec())
        })
        .collect();
    RangeDigests {
        index: image.index,
        ranges,
        ..Default::default()
    }
}

/// Returns the repair for a peer that sent its digests. Returns `None` if this copy is older, or if
/// it is of the same index and nothing differs.
pub fn repair_for(state: &ControlState, peer_digests: &RangeDigests) -> Option<Repair> {
    if state.index < peer_digests.index {
        return None;
    }
    let own_digests = digests(state);
    let ranges: Vec<u32> = (0..RANGES)
        .filter(|range| peer_digests.ranges.get(*range) != own_digests.ranges.get(*range))
        .map(|range| range as u32)
        .collect();
    if ranges.is_empty() && state.index == peer_digests.index {
        return None;
    }
    let image = select_ranges(&state.image(), |range| ranges.contains(&(range as u32)));
    Some(Repair {
        index: state.index,
        ranges,
        image: Some(image),
        incarnation: peer_digests.incarnation,
        number: peer_digests.number,
    })
}

/// Returns the copy with the ranges of a repair put in place of its own, or `None` if the repair is
/// older than the copy or cannot be read.
pub fn apply_repair(state: &ControlState, repair: &Repair) -> Option<ControlState> {
    let newer_image = repair.image.as_ref()?;
    if repair.index < state.index {
        return None;
    }
    let is_repaired = |range: usize| repair.ranges.contains(&(range as u32));
    let mut image = select_ranges(&state.image(), |range| !is_repaired(range));
    image.index = repair.index;
    copy_tables(newer_image, &mut image, &is_repaired);
    // A peer of an earlier software version does not send the token.
    image.highest_fencing_token = image.highest_fencing_token.max(state.highest_fencing_token());
    image.workers.extend(newer_image.workers.iter().cloned());
    image.key_leases.extend(newer_image.key_leases.iter().cloned());
    ControlState::from_image(image).ok()
}

/// Returns the repaired copy, like [`apply_repair`], for a repair that answers the digests
/// `sent_digests` of this node. Also returns `None` if the copy has changed since they were sent:
/// the ranges that a repair omits are equal to the copy that was asked about, and to no other.
pub fn apply_repair_if_unchanged(
    state: &ControlState,
    sent_digests: &RangeDigests,
    repair: &Repair,
) -> Option<ControlState> {
    let is_unchanged = digests(state) == *sent_digests;
    is_unchanged.then(|| apply_repair(state, repair))?
}
