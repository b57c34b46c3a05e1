use super::*;

fn config(timeout: &str, groups: &str) -> Configuration {
    let text = format!(
        r#"{{"Version":2,"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},
        "AccessPoints":[{{"Host":"shop.example","Rules":[{{"Name":"r","RouteType":"idempotent","Condition":{{"PathPrefix":"/a/"}},"Treatment":{{"Service":"one","Timeout":"{timeout}"}}}}]}}],
        "Groups":[{{"Name":"one"}}{groups}]}}"#
    );
    Configuration::parse(text.as_bytes()).expect("valid")
}

#[test]
fn each_kind_of_difference_is_listed_on_its_own_line() {
    let old = config("1s", r#",{"Name":"gone"}"#);
    let new = config("2s", r#",{"Name":"new"}"#);
    let lines = differences(&old, &new);
    assert!(lines[0].starts_with("~ route shop.example/a/"), "{lines:?}");
    assert!(lines[1].starts_with("- service gone") && lines[2].starts_with("+ service new"));
    assert!(differences(&old, &old).is_empty());
}
