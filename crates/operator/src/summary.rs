//! Statements as the audit trail keeps them.

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

/// What stands in the audit trail in place of a secret.
const REDACTED: &str = "\"***\"";

/// The text of statements on one line, without comments, and with API keys replaced.
///
/// Failure guarded against: an API key that an operator typed would stand in the configuration's head, readable
/// by whoever can read the audit trail. Every quoted text that follows the word `key` is replaced, also in a
/// statement that can't be read, so that a mistake doesn't disclose it either.
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

/// A quoted text with its quotes; without a closing one it goes on to the end of the line.
fn quoted<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    let inner = || take_while(0.., |c: char| c != '"' && c != '\n');
    let closed = delimited('"', inner(), '"').take();
    let open = ('"', inner()).take();
    alt((closed, open)).parse_next(input)
}

fn any_char<'a>(input: &mut Input<'a>) -> Result<&'a str, ErrMode<Expected>> {
    any.take().parse_next(input)
}
