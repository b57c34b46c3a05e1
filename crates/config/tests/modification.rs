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

fn made(order: &str) -> Result<Configuration, ConfigurationError> {
    let whole = apply_modification(CURRENT.as_bytes(), order.as_bytes())?;
    assert!(
        String::from_utf8_lossy(&whole).contains("kept"),
        "what nobody named stays"
    );
    Configuration::parse(&whole)
}

fn services(c: &Configuration, host: &str, path: &str) -> Vec<String> {
    let route = c.route(host, path).into_iter();
    route
        .flat_map(|r| r.split.iter().map(|s| format!("{}*{}", s.service, s.weight)))
        .collect()
}

#[test]
fn named_items_are_added_replaced_moved_and_removed() {
    let c = made(
        r#"{"Version":9,"Upsert":{"AccessPoints":[
            {"Host":"a.example","Rules":[{"Name":"r1","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Split":[{"Service":"one","Weight":90},{"Service":"new","Weight":10}],"Timeout":"2s"}}]},
            {"Host":"c.example","Rules":[{"Name":"r3","RouteType":"idempotent","Condition":{"PathPrefix":"/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}],
            "Groups":[{"Name":"new"}]},
            "Remove":{"Routes":["r2","never-there"],"Services":["two"]}}"#,
    )
    .expect("valid");
    assert_eq!(c.version, 9);
    assert_eq!(services(&c, "a.example", "/x/"), ["one*90", "new*10"]);
    assert!(c.route("a.example", "/y/").is_none(), "removed");
    assert!(c.route("b.example", "/").is_none(), "moved with its name");
    assert_eq!(services(&c, "c.example", "/"), ["one*1"]);
    assert!(!c.services.contains_key("two"));
}

#[test]
fn what_cannot_stand_is_refused_whole() {
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
    for (order, what) in cases {
        let fault = made(order).expect_err(order);
        assert!(fault.to_string().contains(what), "{order}: {fault}");
    }
}
