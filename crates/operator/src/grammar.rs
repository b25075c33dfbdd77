//! The grammar of statements, on top of tokens.
//!
//! Each function reads one construct and says what it expected where it fails, so that a mistake is shown
//! with a caret under its column.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::str::FromStr;

use sequoiastream_core::config::AlterProduct;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::KeyHash;
use sequoiastream_core::config::PlaceEngine;
use sequoiastream_core::config::Product;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::config::Role;
use sequoiastream_core::config::Route;
use sequoiastream_core::config::Service;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::name::Name;

use crate::error::SyntaxError;
use crate::statement::Statement;
use crate::statement::Table;
use crate::token::Kind;
use crate::token::Token;
use crate::token::error_at;
use crate::token::tokens;

/// Deadline of a product that states none, in milliseconds.
const DEFAULT_DEADLINE: u32 = 30_000;

/// Reads exactly one statement.
///
/// # Errors
///
/// [`SyntaxError`] with the place and what was expected there.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    let mut statements = parse_script(text)?;
    match (statements.pop(), statements.is_empty()) {
        (Some(statement), true) => Ok(statement),
        _ => Err(error_at(text, text.len(), "exactly one statement")),
    }
}

/// Reads statements separated by `;`.
///
/// # Errors
///
/// [`SyntaxError`] with the place and what was expected there.
pub fn parse_script(text: &str) -> Result<Vec<Statement>, SyntaxError> {
    let tokens = tokens(text)?;
    let mut cursor = Cursor {
        text,
        tokens: &tokens,
    };
    let mut statements = Vec::new();
    loop {
        while cursor.take(&Kind::Semicolon) {}
        if cursor.tokens.is_empty() {
            return Ok(statements);
        }
        statements.push(statement(&mut cursor)?);
        if !cursor.tokens.is_empty() && !cursor.take(&Kind::Semicolon) {
            return Err(cursor.error("`;` or the end"));
        }
    }
}

struct Cursor<'a> {
    text: &'a str,
    tokens: &'a [Token],
}

impl Cursor<'_> {
    fn error(&self, expected: &str) -> SyntaxError {
        let at = self.tokens.first().map_or(self.text.trim_end().len(), |t| t.at);
        error_at(self.text, at, expected)
    }

    fn take(&mut self, kind: &Kind) -> bool {
        match self.tokens.split_first() {
            Some((first, rest)) if first.kind == *kind => {
                self.tokens = rest;
                true
            }
            _ => false,
        }
    }

    fn keyword(&mut self, word: &str) -> bool {
        match self.tokens.split_first() {
            Some((
                Token {
                    kind: Kind::Word(w), ..
                },
                rest,
            )) if w.eq_ignore_ascii_case(word) => {
                self.tokens = rest;
                true
            }
            _ => false,
        }
    }

    /// Reads one of `words` and returns its value.
    fn choice<T>(&mut self, words: &[(&str, T)]) -> Result<T, SyntaxError>
    where
        T: Clone,
    {
        for (word, value) in words {
            if self.keyword(word) {
                return Ok(value.clone());
            }
        }
        let list: Vec<String> = words.iter().map(|(word, _)| format!("`{word}`")).collect();
        Err(self.error(&list.join(" or ")))
    }

    fn expect(&mut self, word: &str) -> Result<(), SyntaxError> {
        self.choice(&[(word, ())])
    }

    fn value<T>(&mut self, expected: &str) -> Result<T, SyntaxError>
    where
        T: FromStr,
    {
        let Some((
            Token {
                kind: Kind::Word(word),
                ..
            },
            rest,
        )) = self.tokens.split_first()
        else {
            return Err(self.error(expected));
        };
        let value = word.parse().map_err(|_| self.error(expected))?;
        self.tokens = rest;
        Ok(value)
    }

    fn quoted(&mut self, expected: &str) -> Result<String, SyntaxError> {
        match self.tokens.split_first() {
            Some((
                Token {
                    kind: Kind::Quoted(text),
                    ..
                },
                rest,
            )) => {
                self.tokens = rest;
                Ok(text.clone())
            }
            _ => Err(self.error(expected)),
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Verb {
    Show,
    Create,
    Alter,
    Drop,
    Place,
    Drain,
    Resume,
    Withdraw,
    Replace,
    Set,
    Quarantine,
    Pardon,
    Release,
}

const VERBS: &[(&str, Verb)] = &[
    ("show", Verb::Show),
    ("create", Verb::Create),
    ("alter", Verb::Alter),
    ("drop", Verb::Drop),
    ("place", Verb::Place),
    ("drain", Verb::Drain),
    ("resume", Verb::Resume),
    ("withdraw", Verb::Withdraw),
    ("replace", Verb::Replace),
    ("set", Verb::Set),
    ("quarantine", Verb::Quarantine),
    ("pardon", Verb::Pardon),
    ("release", Verb::Release),
];

fn statement(cursor: &mut Cursor<'_>) -> Result<Statement, SyntaxError> {
    let command = match cursor.choice(VERBS)? {
        Verb::Show => return table(cursor).map(Statement::Show),
        Verb::Create => create(cursor)?,
        Verb::Alter => alter(cursor)?,
        Verb::Drop => drop_thing(cursor)?,
        Verb::Place => place(cursor)?,
        Verb::Drain => Command::DrainEngine {
            name: engine(cursor)?,
        },
        Verb::Resume => Command::ResumeEngine {
            name: engine(cursor)?,
        },
        Verb::Withdraw => Command::WithdrawEngine {
            name: engine(cursor)?,
        },
        Verb::Replace => replace(cursor)?,
        Verb::Set => set_role(cursor)?,
        Verb::Quarantine => Command::Quarantine {
            fingerprint: fingerprint(cursor)?,
        },
        Verb::Pardon => Command::Pardon {
            fingerprint: fingerprint(cursor)?,
        },
        Verb::Release => release_order(cursor)?,
    };
    Ok(Statement::Change(command))
}

fn table(cursor: &mut Cursor<'_>) -> Result<Table, SyntaxError> {
    cursor.choice(&[
        ("products", Table::Products),
        ("services", Table::Services),
        ("engines", Table::Engines),
        ("changes", Table::Changes),
        ("leases", Table::Leases),
        ("orders", Table::Orders),
    ])
}

fn name(cursor: &mut Cursor<'_>) -> Result<Name, SyntaxError> {
    cursor.value("a name")
}

fn engine(cursor: &mut Cursor<'_>) -> Result<Name, SyntaxError> {
    cursor.expect("engine")?;
    name(cursor)
}

fn create(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    match cursor.choice(&[("product", true), ("service", false)])? {
        true => create_product(cursor),
        false => create_service(cursor),
    }
}

fn create_product(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    let name = name(cursor)?;
    let alter = product_settings(cursor)?;
    let Some(share) = alter.share else {
        return Err(cursor.error("`share` PERCENT"));
    };
    let product = Product {
        keys: BTreeSet::from_iter(alter.key),
        share,
        deadline: alter.deadline.unwrap_or(DEFAULT_DEADLINE),
        weight: alter.weight.unwrap_or(0),
    };
    Ok(Command::CreateProduct { name, product })
}

fn alter(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    cursor.expect("product")?;
    let name = name(cursor)?;
    let alter = product_settings(cursor)?;
    match alter == AlterProduct::default() {
        true => Err(cursor.error("`key`, `share`, `deadline` or `weight`")),
        false => Ok(Command::AlterProduct { name, alter }),
    }
}

fn product_settings(cursor: &mut Cursor<'_>) -> Result<AlterProduct, SyntaxError> {
    let mut alter = AlterProduct::default();
    loop {
        if cursor.keyword("key") {
            alter.key = Some(KeyHash::of(&cursor.quoted("an API key in double quotes")?));
        } else if cursor.keyword("share") {
            alter.share = Some(cursor.value("a share in percent, 0 to 100")?);
        } else if cursor.keyword("deadline") {
            alter.deadline = Some(cursor.value("a deadline in milliseconds")?);
        } else if cursor.keyword("weight") {
            alter.weight = Some(cursor.value("a weight, 0 to 100")?);
        } else {
            return Ok(alter);
        }
    }
}

fn create_service(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    let name = name(cursor)?;
    let kind = match cursor.choice(&[("model", true), ("plain", false)])? {
        true => ServiceKind::Model {
            model: cursor.quoted("the model's name in double quotes")?,
        },
        false => ServiceKind::Plain {
            routes: routes(cursor)?,
        },
    };
    Ok(Command::CreateService {
        name,
        service: Service { kind },
    })
}

fn routes(cursor: &mut Cursor<'_>) -> Result<Vec<Route>, SyntaxError> {
    let mut routes = Vec::new();
    while cursor.keyword("route") {
        let method: String = cursor.value("an HTTP method")?;
        let path = cursor.quoted("a path in double quotes")?;
        let repeat = cursor.choice(&[
            ("safe", Repeat::Safe),
            ("never", Repeat::Never),
            ("dedupes", Repeat::Dedupes),
        ])?;
        routes.push(Route {
            method: method.to_ascii_uppercase(),
            path,
            repeat,
        });
    }
    Ok(routes)
}

fn drop_thing(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    let product = cursor.choice(&[("product", true), ("service", false)])?;
    let name = name(cursor)?;
    Ok(match product {
        true => Command::DropProduct { name },
        false => Command::DropService { name },
    })
}

fn place(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    let name = engine(cursor)?;
    let place = placement(cursor)?;
    Ok(Command::PlaceEngine { name, place })
}

fn replace(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    let old = engine(cursor)?;
    cursor.expect("with")?;
    let with = name(cursor)?;
    let place = placement(cursor)?;
    Ok(Command::ReplaceEngine {
        name: old,
        with,
        place,
    })
}

fn placement(cursor: &mut Cursor<'_>) -> Result<PlaceEngine, SyntaxError> {
    cursor.expect("service")?;
    let service = name(cursor)?;
    cursor.expect("zone")?;
    let zone = name(cursor)?;
    cursor.expect("address")?;
    let address: SocketAddr = cursor.value("an address such as 10.0.0.7:8000")?;
    let fencing = match cursor.keyword("fencing") {
        true => cursor.choice(&[("checked", Fencing::Checked), ("ignored", Fencing::Ignored)])?,
        false => Fencing::Ignored,
    };
    let role = match cursor.keyword("role") {
        true => role(cursor)?,
        false => None,
    };
    Ok(PlaceEngine {
        service,
        zone,
        address,
        fencing,
        role,
    })
}

fn set_role(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    let name = engine(cursor)?;
    cursor.expect("role")?;
    let role = role(cursor)?;
    Ok(Command::SetRole { name, role })
}

fn role(cursor: &mut Cursor<'_>) -> Result<Option<Role>, SyntaxError> {
    cursor.choice(&[
        ("prefill", Some(Role::Prefill)),
        ("decode", Some(Role::Decode)),
        ("mixed", Some(Role::Mixed)),
        ("auto", None),
    ])
}

fn fingerprint(cursor: &mut Cursor<'_>) -> Result<String, SyntaxError> {
    cursor.expect("fingerprint")?;
    cursor.value("a fingerprint in hexadecimal")
}

fn release_order(cursor: &mut Cursor<'_>) -> Result<Command, SyntaxError> {
    cursor.expect("order")?;
    let name = name(cursor)?;
    cursor.expect("sequence")?;
    let sequence = cursor.value("the order's sequence number")?;
    Ok(Command::ReleaseOrder { name, sequence })
}
