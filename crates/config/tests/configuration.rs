//! Parsing of the operator's configuration.

use config::Configuration;

fn sample(edit: &[(&str, &str)]) -> String {
    let mut text = r#"{"Version":7,"Limits":{"HeaderMaxBytes":16384,"BodyMaxBytes":1000,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},
        "AccessPoints":[{"Host":"a.example","Rules":[
          {"Name":"r1","RouteType":"idempotent","Target":"300ms","Priority":2,"Condition":{"PathPrefix":"/x/"},"Treatment":{"Split":[{"Service":"one","Weight":90},{"Service":"two","Weight":10}],"Timeout":"2000ms","AttemptLimit":2,"HomeRegions":[]}},
          {"Name":"r2","RouteType":"non_idempotent","Condition":{"PathPrefix":"/x/y/"},"Treatment":{"Service":"two","Timeout":"2s"},"Later":1}]}],
        "Groups":[{"Name":"one","ConnectionLimit":150,"ColdRateS":19.0},{"Name":"two","Partitioned":true}],"Notes":{}}"#
        .to_string();
    for (from, to) in edit {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    text
}

#[test]
fn longest_prefix_wins_and_unknown_fields_are_ignored() {
    let configuration = Configuration::parse(sample(&[]).as_bytes()).expect("valid");
    assert_eq!(
        configuration.route("a.example", "/x/1").expect("route").name,
        "r1"
    );
    assert_eq!(
        configuration.route("A.example", "/x/y/1").expect("route").name,
        "r2"
    );
    assert!(configuration.route("a.example", "/z").is_none());
    assert!(configuration.route("b.example", "/x/").is_none());
}

#[test]
fn invalid_configuration_is_rejected_and_the_error_names_the_field() {
    let cases: &[(&str, &str, &str)] = &[
        ("\"Notes\":{}}", "", "cannot be read"),
        (
            "\"Service\":\"two\",\"Timeout\"",
            "\"Service\":\"nine\",\"Timeout\"",
            "Service `nine`",
        ),
        ("\"2000ms\"", "\"0ms\"", "Timeout"),
        ("/x/y/", "/x/", "PathPrefix"),
        ("non_idempotent", "sometimes", "RouteType"),
        ("\"Weight\":90", "\"Weight\":-1", "Weight"),
        ("\"Version\":7", "\"Version\":0", "version"),
        (
            "\"Split\":[{\"Service\":\"one\",\"Weight\":90},{\"Service\":\"two\",\"Weight\":10}]",
            "\"Split\":[{\"Service\":\"one\",\"Weight\":0}]",
            "add up to 0",
        ),
    ];
    for (from, to, field) in cases {
        let error = Configuration::parse(sample(&[(from, to)]).as_bytes()).expect_err(from);
        assert!(error.to_string().contains(field), "{from}: {error}");
    }
}
