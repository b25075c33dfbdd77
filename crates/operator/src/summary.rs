//! Summaries of statements for the audit trail, without secrets.

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::ErrMode;
use winnow::token::any;
use winnow::token::take_while;

use crate::error::Expected;
use crate::token::Input;
use crate::token::ParseResult;
use crate::token::skip_blank;

/// Replacement for a secret in the audit trail.
const REDACTED: &str = "\"***\"";

/// Returns the text of statements on one line, without comments and with API keys replaced.
///
/// Guards against an API key that an operator typed being stored in the configuration's head, where everyone who can
/// read the audit trail could read it. Every quoted string after the word `key` is replaced, also in a statement that
/// can't be parsed, so that a typing error doesn't disclose the key either.
pub fn summary(text: &str) -> String {
    let mut input = LocatingSlice::new(text);
    let tokens: Vec<&str> = repeat(0.., token).parse_next(&mut input).unwrap_or_default();
    let mut line = String::new();
    let mut after_key = false;
    for token in tokens {
        let secret = after_key && token.starts_with('"');
        if !line.is_empty() && !matches!(token, ";" | ",") {
            line.push(' ');
        }
        line.push_str(if secret { REDACTED } else { token });
        after_key = token.eq_ignore_ascii_case("key");
    }
    line
}

fn token<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    let word = take_while(1.., |c: char| !c.is_whitespace() && !";,\"".contains(c));
    preceded(skip_blank, alt((quoted, word, any_char))).parse_next(input)
}

/// Parses a quoted string with its quotes; without a closing quote it extends to the end of the line.
fn quoted<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    let inner = || take_while(0.., |c: char| c != '"' && c != '\n');
    let closed = delimited('"', inner(), '"').take();
    let open = ('"', inner()).take();
    alt((closed, open)).parse_next(input)
}

fn any_char<'a>(input: &mut Input<'a>) -> Result<&'a str, ErrMode<Expected>> {
    any.take().parse_next(input)
}
