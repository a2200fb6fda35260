//! Cost of a settings change, which every process pays.

use smol_str::SmolStr;

use bulrushtiller::settings;
use bulrushtiller::settings::record;

use crate::slopes;

fn team_file(team: u64, weight: u64) -> record::Record {
    let hash = format!("{team:064x}");
    let text = format!("[teams.team-{team}]\nweight = {weight}\ntoken_sha256 = [\"{hash}\"]\n");
    record::Record::Change(record::Change {
        version: record::VERSION,
        id: smol_str::format_smolstr!("id-{team}-{weight}"),
        author: SmolStr::new_static("operator"),
        time_ms: 0,
        file: smol_str::format_smolstr!("20-team-{}.toml", team % MAX_FILES),
        text: Some(text),
        base: None,
    })
}

/// Number of files that the teams are spread over; a folder holds at most 256.
const MAX_FILES: u64 = 250;

/// Returns the state of a settings folder with the given number of teams.
pub fn state(teams: u64) -> settings::State {
    let mut state = settings::State::new();
    for team in 0..teams.min(MAX_FILES) {
        state.apply(state.position(), &team_file(team, 1));
    }
    state
}

/// Measures the time for one settings change, by number of teams.
pub fn changes(teams: u64) -> slopes::Point {
    let mut state = state(teams);
    let cost = slopes::mean_time_ns(50, |at| {
        state.apply(state.position(), &team_file(at % teams, at + 2));
    });
    slopes::Point {
        name: "any: one settings change, by files of the folder",
        size: teams,
        cost,
        unit: "ns",
    }
}

/// Measures the size of one settings change in the log.
pub fn change_bytes() -> slopes::Point {
    let bytes = serde_json::to_vec(&team_file(349, 1)).map_or(0, |bytes| bytes.len());
    slopes::Point {
        name: "log: one settings change",
        size: 1,
        cost: bytes as f64,
        unit: "bytes",
    }
}

/// Measures the size of a checkpoint, by number of teams.
pub fn checkpoint_bytes(teams: u64) -> slopes::Point {
    let checkpoint = record::Record::Checkpoint(state(teams).checkpoint("entry-1"));
    let bytes = serde_json::to_vec(&checkpoint).map_or(0, |bytes| bytes.len());
    slopes::Point {
        name: "log: one checkpoint, by files of the folder",
        size: teams,
        cost: bytes as f64,
        unit: "bytes",
    }
}
