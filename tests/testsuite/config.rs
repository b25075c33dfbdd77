//! Validation of configuration changes.

use sequoiastream_core::config::Config;
use sequoiastream_core::config::Share;
use sequoiastream_core::config::ShareError;
use sequoiastream_operator::Statement;
use sequoiastream_operator::parse;
use sequoiastream_operator::parse_script;

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

/// With 1,500 products, the share of each is less than a tenth of a percent. Rounded to whole percents, each share
/// would be zero, or their sum would far exceed 100%.
#[test]
fn share_small_products() {
    let mut config = Config::default();
    for index in 0..1_500 {
        let text = format!("create product p{index} share 0.0666");
        apply(&mut config, &text).expect("accepted");
    }
    let error = apply(&mut config, "create product more share 0.2").expect_err("refused");
    assert_eq!(error, "shares would add up to 100.1%, more than 100%");
}

#[test]
fn share_texts_table() {
    let cases = [
        ("60", Ok("60%")),
        ("0.05", Ok("0.05%")),
        ("99.9999", Ok("99.9999%")),
        ("100.0000", Ok("100%")),
        ("100.0001", Err(ShareError)),
        ("0.00001", Err(ShareError)),
        ("4294967295", Err(ShareError)),
        ("-1", Err(ShareError)),
        ("+1", Err(ShareError)),
        ("1.", Err(ShareError)),
        (".5", Err(ShareError)),
        ("1e1", Err(ShareError)),
        ("", Err(ShareError)),
    ];
    for (text, expected) in cases {
        let share = text.parse::<Share>().map(|share| share.to_string());
        assert_eq!(share.as_deref(), expected.as_ref().copied(), "{text}");
    }
}

/// The example files must be accepted, since new users apply them first.
#[test]
fn examples_accepted() {
    let cases = [
        (include_str!("../../examples/padano.sst"), 4, 3, 15),
        (include_str!("../../examples/chama.sst"), 3, 3, 15),
    ];
    for (text, products, services, engines) in cases {
        let mut config = Config::default();
        for statement in parse_script(text).expect("statements") {
            match statement {
                Statement::Change(command) => config.apply(&command).expect("accepted"),
                Statement::Show(_) => panic!("a query"),
            }
        }
        let counts = (config.products.len(), config.services.len(), config.engines.len());
        assert_eq!(counts, (products, services, engines));
    }
}
