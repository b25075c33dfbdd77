//! Membership: which instances are reachable, which may accept work, and which are advertised to callers.

mod addresses;
mod heartbeats;
mod notices;
mod partitions;
mod standing;

use sequoiastream_core::name::Name;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}
