//! Parsing of the settings file: every field is read under its name, and missing fields take their
//! defaults.

use config::Settings;

const ALL_FIELDS: &str = include_str!("../../pebblepond/tests/data/settings.toml");

/// Returns the values in the order of the fields, without the names of the Rust fields.
fn values(settings: &Settings) -> Vec<String> {
    let text = format!("{settings:?}");
    let is_word_character = |c: char| c.is_alphanumeric() || "._\"-:/".contains(c);
    let words = text.split(|c: char| !is_word_character(c));
    let is_value = |w: &&str| {
        let is_number = w.starts_with(|c: char| c.is_ascii_digit());
        is_number || w.starts_with('"') || ["true", "false", "None"].contains(w)
    };
    words.filter(is_value).map(str::to_string).collect()
}

#[test]
fn every_field_is_read_under_its_name() {
    let settings = Settings::parse(ALL_FIELDS).expect("settings");
    assert_eq!(
        values(&settings).join(" "),
        r#""n7" "edge" "control" 10.0.0.7 "n1" "north" true true "/var/lib/pebblepond" 0.5 128 4096 64 7000 7009 10.0.0.1:8080 10.0.0.2:8080 10.0.0.7:80 10.0.0.7:81 10.0.0.7:82 10.0.0.7:83 "n1": "north" "s1": "south" 10.9.0.1:90 2.5 150 "address" "api" "keys" "rollouts" 1 2 3 1 2 3 4 5 6 0.7 8 9.0 10.0 11.0 12 0.13 14.0 15 16 17 1800"#
    );
}

#[test]
fn missing_fields_take_their_defaults() {
    let is_required = |line: &&str| {
        ![
            "Serves",
            "LossCounted",
            "InitialStart",
            "DataDirectory",
            "MemoryMb",
            "FileDescriptors",
            "DiskMb",
            "SeedNodes",
            "Front",
            "Readiness",
            "Control",
            "Directory",
            "Entry",
            "Rollout",
            "Lag",
            "Contracts",
            "Machines",
            "Zones =",
            "Regions =",
            "ReuseDelay",
            "Contact",
            "Acknowledge",
            "Drain",
            "GracePeriod",
            "ConfigApply",
            "Retry",
            "Cold",
            "Evacuation",
            "Exposure",
            "Rollback",
            "HoldLimit",
            "Thaw",
            "ttl_max",
        ]
        .iter()
        .any(|name| line.starts_with(name))
    };
    let text: Vec<&str> = ALL_FIELDS.lines().filter(is_required).collect();
    let settings = Settings::parse(&text.join("\n")).expect("settings");
    assert_eq!(
        values(&settings).join(" "),
        r#""n7" 10.0.0.7 "n1" "north" false false None 0.5 0 0 0 7000 7009 None None None None "n1": "north" "s1": "south" 10.9.0.1:90 2.5 0 "directory" "global" 0 0 0 2000 4000 6000 2500 6000 2000 0.0 10000 0.0 1.0 0.0 5000 0.0 0.0 5000 10000 300 5000"#
    );
}
