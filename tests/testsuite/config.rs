//! Accepting changes of the configuration.

use sequoiastream_core::config::Config;
use sequoiastream_operator::Statement;
use sequoiastream_operator::parse;

fn apply(config: &mut Config, text: &str) -> Result<(), String> {
    match parse(text).expect("a statement") {
        Statement::Change(command) => config.apply(&command).map_err(|e| e.to_string()),
        Statement::Show(_) => panic!("{text} is a query"),
    }
}

#[test]
fn apply_shares_over() {
    let mut config = Config::default();
    apply(&mut config, "create product a share 70").expect("accepted");
    let before = config.clone();
    let error = apply(&mut config, "create product b share 40").expect_err("refused");
    assert_eq!(error, "shares would add up to 110%, more than 100%");
    assert_eq!(config, before);
}

#[test]
fn apply_service_in_use() {
    let mut config = Config::default();
    apply(&mut config, "create service s model \"m\"").expect("accepted");
    apply(&mut config, "place engine e service s zone z address 10.0.0.1:80").expect("accepted");
    let error = apply(&mut config, "drop service s").expect_err("refused");
    assert_eq!(error, "service `s` still has engine `e`: withdraw it first");
}
