//! The command line as users and scripts see it: exit codes, messages and written files.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_notchdoor")).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("notchdoor-cli-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn each_command_line_yields_the_expected_exit_code_and_output() {
    let folder = temp_folder("codes");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let bad = file("bad.toml", "[workers]\ncount = 0\n");
    let good = file("good.toml", "length_s = 3.0\nwarm_up_s = 1.0\n");
    let config = file("config.json", "{}");
    let drain = file(
        "drain.toml",
        "length_s = 14.0\nwarm_up_s = 2.0\n[[fault]]\nkind = 'restart-workers'\nat_s = 1.0\nlength_s = 1.0\ncount = 2.0\n",
    );
    let many = "x=1,2,3,4,5,6,7,8,9,10";
    let deep = format!("{}=1", "a.".repeat(5_000));
    // Arguments, exit code, text on standard output, text on standard error.
    let cases: &[(&[&str], i32, &str, &str)] = &[
        // Values beyond these limits would exhaust the memory or panic.
        (
            &[
                "lab", "run", "calm", "--set", many, "--set", many, "--set", many, "--set", many, "--set",
                many, "--set", many,
            ],
            2,
            "",
            "--set x: this grid holds more than 100000 choices",
        ),
        (&["lab", "run", "calm", "--set", &deep], 2, "", "the path has more than 16 parts"),
        (
            &["lab", "run", "calm", "--seeds", "999999999999"],
            2,
            "",
            "--seeds 999999999999: must be at most 100000",
        ),
        (&["lab", "run", "calm", "--threads", "9999999"], 2, "", "9999999 threads: 1024 at the most"),
        (
            &["load", "127.0.0.1:1", "--value-bytes", "9999999999999999999"],
            2,
            "",
            "--value-bytes 9999999999999999999: must be at most 1048576",
        ),
        (&["check", "config", "/dev/zero"], 2, "", "/dev/zero: cannot read: file exceeds 16777216 bytes"),
        (&["check", "scenario", "/dev/zero"], 2, "", "file exceeds 1048576 bytes"),
        (&["--help"], 0, "Exit codes:", ""),
        (&["lab", "run", "--help"], 0, "notchdoor lab run calm --out", ""),
        (&["lab", "list"], 0, "origin-stop", ""),
        (&["lab", "list", "--json"], 0, "\"thousand\"", ""),
        (&["completions", "bash"], 0, "_notchdoor()", ""),
        (&["check", "scenario", "calm", &good], 0, "OK: 14 backends, 4 proxies", ""),
        (&["check", "scenario", &good, &bad], 2, "", "bad.toml:2:9: workers.count: 0 is out of range"),
        (&["check", "config", &config], 2, "", "missing field"),
        (&["serve", "--log-format", "xml"], 2, "", "expected text or json"),
        (&["lab", "run", "clam"], 2, "", "no such built-in scenario"),
        (
            &["lab", "run", &good, "--policies", "best"],
            2,
            "",
            "no policy is called 'best'; there are notchdoor,",
        ),
        (&["lab", "run", &good, "--policies", "notchdoor"], 0, "notchdoor", ""),
        (
            &["lab", "run", &drain, "--policies", "broken-ignores-drains"],
            1,
            "Drain",
            "after it was told to go",
        ),
        (&["lab", "compare", "/nowhere", "/nowhere"], 2, "", "/nowhere: cannot read"),
        (&["lab", "shrink", &good], 2, "", "violates no rule with seed 1"),
        (&["labb"], 2, "", "lab"),
    ];
    for (args, code, out, err) in cases {
        let output = run(args);
        let (stdout, stderr) = (text(&output.stdout), text(&output.stderr));
        assert_eq!(output.status.code(), Some(*code), "{args:?}: {stdout}{stderr}");
        assert!(stdout.contains(out) && stderr.contains(err), "{args:?}: {stdout}{stderr}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn lab_run_writes_its_files_and_has_equal_digests_for_any_thread_count() {
    let folder = temp_folder("run");
    let out = |name: &str| folder.join(name).display().to_string();
    let play = |out: &str, threads: &str| {
        let args =
            ["lab", "run", "churn", "--policies", "notchdoor,two-choices", "--seed", "4", "--seeds", "2"];
        let output = run(&[&args[..], &["--threads", threads, "--out", out, "--json"]].concat());
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        text(&output.stdout)
    };
    let (a, b) = (out("a"), out("b"));
    let digests = |text: &str| -> Vec<String> {
        text.lines()
            .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap()["digest"].to_string())
            .collect()
    };
    let first = digests(&play(&a, "1"));
    assert_eq!(first.len(), 4);
    assert_eq!(first, digests(&play(&b, "4")));
    for file in ["result.json", "summary.md", "service.svg", "classes.svg", "origin.svg", "scores.svg"] {
        assert!(folder.join("a").join(file).is_file(), "{file}");
    }
    let same = run(&["lab", "compare", &a, &b]);
    assert_eq!(same.status.code(), Some(0));
    assert!(text(&same.stdout).contains("noise") && !text(&same.stdout).contains("is worse"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn lab_run_grid_sweeps_policy_parameters_and_writes_one_chart() {
    let folder = temp_folder("grid");
    let (out, file) = (folder.display().to_string(), folder.join("limits.toml"));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(&file, "[budget.a]\nshare = 0.1\nfloor_per_s = 1.0\n[default]\nbudget = 'a'\n").unwrap();
    let file = file.display().to_string();
    let swept = ["length_s=20", "load.share=0.3,0.4", "proxies=2,3", "limits.budget.a.share=0.1,0.2"];
    let args: Vec<&str> = swept.iter().flat_map(|s| ["--set", *s]).collect();
    let base = ["lab", "run", "calm", "--policies", "notchdoor,limited", "--json"];
    let output = run(&[&base[..], &args, &["--policy", &file, "--out", &out]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    // `notchdoor` ignores the limits file, so it plays four grid points; `limited` plays each with both budgets.
    assert_eq!(text(&output.stdout).lines().count(), 4 + 8);
    let chart = std::fs::read_to_string(folder.join("grid.svg")).unwrap();
    for words in ["load.share (across)", "proxies (up)", "budget.a.share 0.1", "budget.a.share 0.2"] {
        assert!(chart.contains(words), "{words}");
    }
    let cells = chart.matches("<rect").count();
    assert!(cells > 4 + 8, "{cells} rectangles");
    for (set, expected) in
        [("limits.budget.a.share=-1", "limits.toml with budget.a.share=-1:2:"), ("limits.x=1", "x")]
    {
        let output = run(&[&base[..], &["--policy", &file, "--set", set]].concat());
        assert_eq!(output.status.code(), Some(2));
        assert!(text(&output.stderr).contains(expected), "{}", text(&output.stderr));
    }
    let output = run(&[&base[..4], &["notchdoor", "--set", "limits.budget.a.share=0.1"]].concat());
    assert!(text(&output.stderr).contains("requires --policy FILE"), "{}", text(&output.stderr));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn lab_play_runs_on_sockets_and_writes_the_result_files() {
    let folder = temp_folder("play");
    let out = folder.display().to_string();
    let sets =
        ["proxies=2", "workers.count=4", "length_s=3", "warm_up_s=2", "keys.count=40", "origin.headroom=8"];
    let sets: Vec<&str> = sets.iter().flat_map(|s| ["--set", *s]).collect();
    let output = run(&[&["lab", "play", "calm", "--json", "--out", &out][..], &sets].concat());
    // A run that is late on a busy machine is reported as void with exit code 1; no rule may be violated in any case.
    let played: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(played["broken"].as_array().map(Vec::len), Some(0), "{played}");
    assert_eq!(output.status.code(), Some(i32::from(!played["void"].is_null())), "{}", text(&output.stderr));
    assert!(played["day"]["counts"]["served"].as_u64() > Some(20), "{}", played["day"]["counts"]);
    for usage in played["took"].as_array().unwrap() {
        assert!(usage["most_kb"].as_u64() > Some(1000) && usage["descriptors"].as_u64() > Some(5), "{usage}");
    }
    for file in ["result.json", "service.svg", "proxies/proxy-0.log", "proxies/proxy-1.json"] {
        assert!(folder.join(file).is_file(), "{file}");
    }
    std::fs::remove_dir_all(folder).unwrap();
    let churn = run(&["lab", "play", "churn"]);
    assert_eq!(churn.status.code(), Some(2));
    assert!(text(&churn.stderr).contains("cannot be played on sockets yet"), "{}", text(&churn.stderr));
}

#[test]
fn lab_search_writes_a_scenario_file_that_reproduces_the_violation() {
    let folder = temp_folder("search");
    let found = folder.display().to_string();
    let args = ["lab", "search", "--days", "40", "--first", "--policy", "broken-forgets", "--threads", "2"];
    let output = run(&[&args[..], &["--out", &found]].concat());
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stderr));
    let files: Vec<_> = std::fs::read_dir(&folder).unwrap().flatten().map(|e| e.path()).collect();
    assert!(!files.is_empty());
    let file = files[0].display().to_string();
    let replayed = run(&["lab", "run", &file, "--policies", "broken-forgets"]);
    assert_eq!(replayed.status.code(), Some(1), "{}", text(&replayed.stdout));
    assert!(text(&replayed.stderr).contains("no final answer"));
    let good = run(&["lab", "search", "--days", "4", "--json"]);
    assert_eq!(good.status.code(), Some(0));
    assert!(text(&good.stdout).contains("\"days\":4"));
    std::fs::remove_dir_all(folder).unwrap();
}
