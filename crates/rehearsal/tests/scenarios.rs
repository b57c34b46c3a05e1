//! Plays every scenario under a few seeds.

use std::path::Path;

fn play_all(folder: &str, least: usize, seeds: u64) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder is there")
        .flatten()
        .map(|e| e.path())
        .collect();
    files.sort();
    assert!(files.len() >= least, "scenarios are missing");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("readable");
        for seed in 1..=seeds {
            println!("{} seed {seed}", file.display());
            rehearsal::script::play(&text, seed);
        }
    }
}

#[test]
fn every_scenario() {
    play_all("scenarios", 11, 6);
}

/// The control side of three hundred nodes.
#[test]
fn every_crowd() {
    play_all("crowds", 1, 1);
}
