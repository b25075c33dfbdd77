//! Parsing of the statement language.

use sequoiastream_core::config::Command;
use sequoiastream_core::name::Name;
use sequoiastream_operator::Filter;
use sequoiastream_operator::Query;
use sequoiastream_operator::Statement;
use sequoiastream_operator::Table;
use sequoiastream_operator::parse;
use sequoiastream_operator::parse_script;
use sequoiastream_operator::summary;

fn error(text: &str) -> String {
    parse(text).expect_err("no statement").to_string()
}

#[test]
fn parse_table_wrong() {
    assert_eq!(
        error("show engine"),
        "line 1, column 6: expected `products` or `services` or `engines` or `changes` \
         or `quarantine` or `leases` or `orders` or `claims` or `instances` \
         or `limits`, found `engine`\n  \
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
}

/// Invalid statements, the column of the caret, and what the error says is expected there.
#[test]
fn parse_mistakes_table() {
    let cases = [
        ("drain e1", 7, "`engine`"),
        (
            "drain engine E1",
            14,
            "a name (a lower-case letter, then also digits, `-`, `.`, `_`)",
        ),
        ("create product p share 101", 24, "a share in percent, 0 to 100"),
        ("create product p deadline 5", 28, "`share` and a percentage"),
        ("alter product p", 16, "`key`, `share`, `deadline` or `weight`"),
        ("alter product p share 1 share 2", 25, "each setting at most once"),
        (
            "create product p key \"\" share 1",
            22,
            "an API key in double quotes",
        ),
        ("create service s", 17, "`model` or `plain`"),
        (
            "create service s plain route GET \"orders\" safe",
            34,
            "a path in double quotes, beginning with `/`",
        ),
        (
            "create service s plain route GET \"/\" often",
            38,
            "`dedupes` or `never` or `safe`",
        ),
        (
            "set engine e1 role fast",
            20,
            "`auto` or `decode` or `mixed` or `prefill`",
        ),
        (
            "pardon fingerprint xyz",
            20,
            "a fingerprint of 16 to 64 hexadecimal digits",
        ),
        ("show engines where zone lodi-a", 25, "`!=` or `=`"),
        ("show engines limit 0", 20, "a number of rows"),
        ("release order e1 sequence x", 27, "the order's sequence number"),
        ("show engines; drop product p q", 30, "`;` or the end"),
    ];
    for (text, column, expected) in cases {
        let error = parse_script(text).expect_err(text);
        assert_eq!(
            (error.column, error.expected.as_str()),
            (column, expected),
            "{text}"
        );
    }
}

#[test]
fn parse_comments_and_case() {
    let text = "-- what we run\nSHOW engines\n  WHERE zone = lodi-a AND state != serving limit 5 -- done";
    let query = Query {
        table: Table::Engines,
        filters: vec![
            Filter {
                column: "zone".to_string(),
                equal: true,
                value: "lodi-a".to_string(),
            },
            Filter {
                column: "state".to_string(),
                equal: false,
                value: "serving".to_string(),
            },
        ],
        limit: Some(5),
    };
    assert_eq!(parse(text), Ok(Statement::Show(query)));
}

/// The parser must not panic on any text, and the caret must be within the line or directly behind its end.
#[test]
fn parse_any_text() {
    bolero::check!().with_type::<String>().for_each(|text| {
        if let Err(error) = parse_script(text) {
            assert!(error.column <= error.text.chars().count() + 1, "{error:?}");
        }
    });
}

/// Parses keywords in random order, which reaches parser states that random text rarely does.
#[test]
fn parse_any_words() {
    const WORDS: &[&str] = &[
        "show",
        "engines",
        "where",
        "zone",
        "=",
        "a",
        "and",
        "limit",
        "3",
        "create",
        "product",
        "service",
        "key",
        "\"k\"",
        "share",
        "model",
        "plain",
        "route",
        "GET",
        "\"/\"",
        "safe",
        ";",
        "place",
        "engine",
        "address",
        "1.2.3.4:5",
        "role",
        "auto",
        "replace",
        "with",
        "drain",
        "--",
        "\n",
        "drop",
        "pardon",
        "fingerprint",
    ];
    bolero::check!().with_type::<Vec<u8>>().for_each(|picks| {
        let words: Vec<&str> = picks.iter().map(|p| WORDS[*p as usize % WORDS.len()]).collect();
        let _ = parse_script(&words.join(" "));
    });
}

/// API keys must be masked in statements of the audit trail. If statements were kept as typed, anyone who may read the
/// trail could read the keys of products.
#[test]
fn summary_hides_keys() {
    let cases = [
        (
            "create product p -- for the docks\n  KEY \"sk-1\" share 5;\n drop service s",
            "create product p KEY \"***\" share 5; drop service s",
        ),
        ("alter product p key \"sk-1", "alter product p key \"***\""),
        ("create service s model \"key\"", "create service s model \"key\""),
        ("key\"sk-1\"", "key \"***\""),
    ];
    for (text, expected) in cases {
        assert_eq!(summary(text), expected);
    }
}
