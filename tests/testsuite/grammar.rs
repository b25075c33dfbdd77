//! The statement language.

use sequoiastream_core::config::Command;
use sequoiastream_core::name::Name;
use sequoiastream_operator::Statement;
use sequoiastream_operator::Table;
use sequoiastream_operator::parse;

fn error(text: &str) -> String {
    parse(text).expect_err("no statement").to_string()
}

#[test]
fn parse_verb_wrong() {
    assert_eq!(
        error("show engine"),
        "line 1, column 6: expected `products` or `services` or `engines` or `changes` or `leases` or `orders`, found `engine`\n  \
         show engine\n       ^"
    );
}

#[test]
fn parse_address_wrong() {
    assert_eq!(
        error("place engine e1 service s\n  zone z address 10.0.0.1"),
        "line 2, column 18: expected an address such as 10.0.0.7:8000, found `10.0.0.1`\n    \
         zone z address 10.0.0.1\n                   ^"
    );
}

#[test]
fn parse_release_order() {
    let expected = Command::ReleaseOrder {
        name: Name::new("e1").expect("a name"),
        sequence: 12,
    };
    assert_eq!(
        parse("release order e1 sequence 12"),
        Ok(Statement::Change(expected))
    );
    assert_eq!(parse("show orders"), Ok(Statement::Show(Table::Orders)));
    assert_eq!(parse("show leases"), Ok(Statement::Show(Table::Leases)));
}
