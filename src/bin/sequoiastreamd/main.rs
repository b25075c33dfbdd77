//! The daemon: an entry instance of sequoiastream.

use std::process::ExitCode;

use sequoiastream::ops::daemon;
use sequoiastream::settings::Settings;
use sequoiastream::settings::cli;
use sequoiastream::util::logging;

#[actix_web::main]
async fn main() -> ExitCode {
    let settings = match Settings::read(&cli().get_matches()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    if settings.check_only {
        println!("the settings are good");
        return ExitCode::SUCCESS;
    }
    logging::init(settings.log_format);
    match daemon::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
