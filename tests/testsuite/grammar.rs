//! The statement language.

use sequoiastream_operator::parse;

fn error(text: &str) -> String {
    parse(text).expect_err("no statement").to_string()
}

#[test]
fn parse_verb_wrong() {
    assert_eq!(
        error("show engine"),
        "line 1, column 6: expected `products` or `services` or `engines` or `changes`, found `engine`\n  \
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
