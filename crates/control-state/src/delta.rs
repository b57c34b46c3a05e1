//! A configuration as what it changes of another, byte for byte: the log then grows by
//! the change, not by the size of the whole.

use protocol::DeltaPart;
use std::collections::HashMap;

/// Bytes that must be alike before a part is copied: far more than a part costs.
const BLOCK: usize = 32;
/// Largest body that is compared, bytes: a few ten milliseconds of the leader.
const LARGEST: usize = 2 * 1024 * 1024;

/// The parts that make `new` out of `base`; `None` if they would save less than half.
pub fn delta(base: &[u8], new: &[u8]) -> Option<Vec<DeltaPart>> {
    if base.len().max(new.len()) > LARGEST {
        return None;
    }
    let mut blocks = HashMap::new();
    for (number, block) in base.chunks_exact(BLOCK).enumerate() {
        blocks.entry(block).or_insert(number * BLOCK);
    }
    let mut parts: Vec<DeltaPart> = Vec::new();
    let mut literal = Vec::new();
    let mut written = 0;
    // Where the base goes on if nothing was put in or left out.
    let (mut at, mut next) = (0, 0);
    while at < new.len() {
        let found = new.get(at..at + BLOCK).and_then(|block| {
            let straight = base.get(next..next + BLOCK) == Some(block);
            if straight {
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
        // What came before may be alike as well, up to a block's length.
        let pairs = literal.iter().rev().zip(base[..from].iter().rev());
        let back = pairs.take_while(|(a, b)| a == b).count();
        literal.truncate(literal.len() - back);
        let pairs = new[at..].iter().zip(&base[from..]);
        let length = pairs.take_while(|(a, b)| a == b).count();
        written += literal.len() + 16;
        parts.push(DeltaPart {
            literal: std::mem::take(&mut literal),
            from: (from - back) as u64,
            length: (back + length) as u64,
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

/// What the parts make of a base; `None` if they do not fit it, or make more than so
/// many bytes.
pub fn patch(base: &[u8], parts: &[DeltaPart], most: usize) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for part in parts {
        let from = usize::try_from(part.from).ok()?;
        let length = usize::try_from(part.length).ok()?;
        let copied = base.get(from..from.checked_add(length)?)?;
        if new.len() + part.literal.len() + copied.len() > most {
            return None;
        }
        new.extend_from_slice(&part.literal);
        new.extend_from_slice(copied);
    }
    Some(new)
}
