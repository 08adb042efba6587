//! Log lines: plain or JSON, on standard error.

use tracing_subscriber::EnvFilter;

use crate::settings::LogForm;

/// Starts logging. Only this package's own lines are written below the level of warnings.
pub fn start(form: LogForm, level: tracing::Level) {
    let filter = EnvFilter::new(format!("warn,bamboowheel={level}"));
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter);
    match form {
        LogForm::Plain => lines.with_target(false).init(),
        LogForm::Json => lines.json().with_target(false).init(),
    }
}
