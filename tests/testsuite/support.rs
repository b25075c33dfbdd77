//! Where the binaries under test are.

use std::path::PathBuf;

use sequoiastream_testsupport::fleet::Binaries;
use sequoiastream_testsupport::fleet::FleetBuilder;

/// A builder of fleets of the binaries that were built with this test.
pub fn fleet() -> FleetBuilder {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_sequoiastreamd"));
    let standin = daemon.with_file_name("sequoiastream-standin");
    FleetBuilder::new(Binaries {
        daemon,
        tool: PathBuf::from(env!("CARGO_BIN_EXE_sequoiastream")),
        standin,
    })
}
