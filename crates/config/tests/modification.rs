//! Changes to named items of a configuration.

use config::{apply_modification, Configuration, ConfigurationError};

const CURRENT: &str = r#"{"Version":7,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[
      {"Host":"a.example","Rules":[
        {"Name":"r1","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Service":"one","Timeout":"1s"}},
        {"Name":"r2","RouteType":"idempotent","Condition":{"PathPrefix":"/y/"},"Treatment":{"Service":"two","Timeout":"1s"}}]},
      {"Host":"b.example","Rules":[
        {"Name":"r3","RouteType":"idempotent","Condition":{"PathPrefix":"/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}],
    "Groups":[{"Name":"one","ColdRateS":6.0},{"Name":"two"}],"Notes":{"kept":true}}"#;

fn modified(modification: &str) -> Result<Configuration, ConfigurationError> {
    let body = apply_modification(CURRENT.as_bytes(), modification.as_bytes())?;
    assert!(
        String::from_utf8_lossy(&body).contains("kept"),
        "a field that the modification does not name was removed"
    );
    Configuration::parse(&body)
}

fn services(configuration: &Configuration, host: &str, path: &str) -> Vec<String> {
    let route = configuration.route(host, path).into_iter();
    route
        .flat_map(|r| r.split.iter().map(|s| format!("{}*{}", s.service, s.weight)))
        .collect()
}

#[test]
fn named_items_are_added_replaced_moved_and_removed() {
    let configuration = modified(
        r#"{"Version":9,"Upsert":{"AccessPoints":[
            {"Host":"a.example","Rules":[{"Name":"r1","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Split":[{"Service":"one","Weight":90},{"Service":"new","Weight":10}],"Timeout":"2s"}}]},
            {"Host":"c.example","Rules":[{"Name":"r3","RouteType":"idempotent","Condition":{"PathPrefix":"/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}],
            "Groups":[{"Name":"new"}]},
            "Remove":{"Routes":["r2","never-there"],"Services":["two"]}}"#,
    )
    .expect("valid");
    assert_eq!(configuration.version, 9);
    assert_eq!(services(&configuration, "a.example", "/x/"), ["one*90", "new*10"]);
    assert!(
        configuration.route("a.example", "/y/").is_none(),
        "a removed route is still there"
    );
    assert!(
        configuration.route("b.example", "/").is_none(),
        "a moved route is still under its old host"
    );
    assert_eq!(services(&configuration, "c.example", "/"), ["one*1"]);
    assert!(!configuration.services.contains_key("two"));
}

#[test]
fn invalid_modification_is_rejected_completely() {
    let cases = [
        (
            r#"{"Version":9,"Remove":{"Services":["one"]}}"#,
            "`one` is unknown",
        ),
        (
            r#"{"Version":9,"Upsert":{"AccessPoints":[{"Rules":[]}]}}"#,
            "without a Host",
        ),
        (
            r#"{"Version":9,"Upsert":{"Groups":[{"HealthPath":"/"}]}}"#,
            "without a Name",
        ),
        (r#"{"Version":9,"Upsert":{"Moon":[]}}"#, "Upsert.Moon"),
        (r#"{"Version":9,"Remove":{"Limits":["x"]}}"#, "Remove.Limits"),
        (r#"{"Version":9,"Upsert":{"AccessPoints":"#, "cannot be read"),
        (r#"{"Upsert":{}}"#, "cannot be read"),
        (
            r#"{"Version":9,"Upsert":{"AccessPoints":[{"Host":"a.example","Rules":[{"Name":"r9","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}]}}"#,
            "taken by another route",
        ),
    ];
    for (modification, expected) in cases {
        let error = modified(modification).expect_err(modification);
        assert!(error.to_string().contains(expected), "{modification}: {error}");
    }
}
