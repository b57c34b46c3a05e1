//! Binary deltas between configuration bodies, so that the log grows by the size of a change and
//! not by the size of the complete configuration.

use protocol::DeltaPart;
use std::collections::HashMap;

/// Shortest match that is copied from the base, in bytes: far more than the encoding of a part
/// takes.
const BLOCK_BYTES: usize = 32;
/// Largest body that is compared, in bytes. The comparison takes the leader a few tens of
/// milliseconds.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Returns the parts that build `new` from `base`, or `None` if they would save less than half.
pub fn delta(base: &[u8], new: &[u8]) -> Option<Vec<DeltaPart>> {
    if base.len().max(new.len()) > MAX_BODY_BYTES {
        return None;
    }
    let mut blocks = HashMap::new();
    for (number, block) in base.chunks_exact(BLOCK_BYTES).enumerate() {
        blocks.entry(block).or_insert(number * BLOCK_BYTES);
    }
    let mut parts: Vec<DeltaPart> = Vec::new();
    let mut literal = Vec::new();
    let mut written = 0;
    // `next` is the position in the base that matches `at` if nothing was inserted or removed.
    let (mut at, mut next) = (0, 0);
    while at < new.len() {
        let found = new.get(at..at + BLOCK_BYTES).and_then(|block| {
            let matches_next = base.get(next..next + BLOCK_BYTES) == Some(block);
            if matches_next {
                Some(next)
            } else {
                blocks.get(block).copied()
            }
        });
        let Some(from) = found else {
            literal.push(new[at]);
            at += 1;
            next += 1;
            if written + literal.len() > new.len() / 2 {
                return None;
            }
            continue;
        };
        // The literal bytes before the match may also match the base, up to a block's length.
        let pairs = literal.iter().rev().zip(base[..from].iter().rev());
        let extended_back = pairs.take_while(|(a, b)| a == b).count();
        literal.truncate(literal.len() - extended_back);
        let pairs = new[at..].iter().zip(&base[from..]);
        let length = pairs.take_while(|(a, b)| a == b).count();
        written += literal.len() + 16;
        parts.push(DeltaPart {
            literal: std::mem::take(&mut literal),
            from: (from - extended_back) as u64,
            length: (extended_back + length) as u64,
        });
        at += length;
        next = from + length;
    }
    if !literal.is_empty() {
        parts.push(DeltaPart {
            literal,
            ..Default::default()
        });
    }
    (written <= new.len() / 2).then_some(parts)
}

/// Builds a body from a base and the parts of a delta. Returns `None` if the parts refer to bytes
/// outside the base or the result would exceed `max_bytes`.
pub fn patch(base: &[u8], parts: &[DeltaPart], max_bytes: usize) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for part in parts {
        let from = usize::try_from(part.from).ok()?;
        let length = usize::try_from(part.length).ok()?;
        let copied = base.get(from..from.checked_add(length)?)?;
        if new.len() + part.literal.len() + copied.len() > max_bytes {
            return None;
        }
        new.extend_from_slice(&part.literal);
        new.extend_from_slice(copied);
    }
    Some(new)
}
