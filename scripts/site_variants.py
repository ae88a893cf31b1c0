#!/usr/bin/env python3
"""Makes site files of other deployments out of one that is given.

    scripts/site_variants.py SITE.toml OUT_DIR

writes one site file a variant to OUT_DIR, beside the message table that the
given site names. The variants differ from it in what code could wrongly take
for granted: the number of instances, zones, endpoints and slots, the bounds,
and whether there are engines or stores at all. Each is played by
`fleetbench run OUT_DIR/VARIANT.toml DAY`.
"""

import copy
import pathlib
import re
import shutil
import sys
import tomllib


def toml_value(value):
    """The value as inline TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    if isinstance(value, dict):
        pairs = (f"{key} = {toml_value(item)}" for key, item in value.items())
        return "{ " + ", ".join(pairs) + " }"
    return repr(value)


def toml_text(site):
    """The site as TOML: plain values first, then tables, then the days."""
    lines = [
        f"{key} = {toml_value(value)}"
        for key, value in site.items()
        if not isinstance(value, dict) and key != "day"
    ]
    for key, table in site.items():
        if isinstance(table, dict):
            lines += ["", f"[{key}]"]
            lines += [f"{k} = {toml_value(v)}" for k, v in table.items()]
    for day in site.get("day", []):
        lines += ["", "[[day]]"]
        lines += [f"{k} = {toml_value(v)}" for k, v in day.items()]
    return "\n".join(lines) + "\n"


def traffic_lists(site):
    """The traffic of the site and of each day that has its own."""
    yield site["traffic"]
    for day in site["day"]:
        if "traffic" in day:
            yield day["traffic"]


def disruption_lists(site):
    """(owner, key) of each list of disruptions."""
    yield site, "troubles"
    for day in site["day"]:
        for key in ("plan", "faults"):
            if key in day:
                yield day, key


def drop_disruptions(site, unwanted):
    for owner, key in disruption_lists(site):
        owner[key] = [d for d in owner[key] if not unwanted(d)]


def scale_traffic(site, factor):
    for traffic in traffic_lists(site):
        for row in traffic:
            row["per_s"] = round(row["per_s"] * factor, 1)
            row["mix"] = {k: v * factor for k, v in row["mix"].items()}


def drop_goals(site):
    """Floors and marks were drawn for the deployment as given."""
    for day in site["day"]:
        day["goal"] = {"floor": 0.0}
        day.pop("floor_classes", None)
        day.pop("floor_zones", None)


def one_zone(site):
    """Everything in the first zone."""
    zone = site["zones"][0]["name"]
    site["zones"] = site["zones"][:1]
    for row in site["machines"]:
        row["zone"] = zone
    for service in site["services"]:
        count = sum(row["count"] for row in service["servers"])
        service["servers"] = [{"zone": zone, "count": count}]
    for traffic in traffic_lists(site):
        for row in traffic:
            row["zone"] = zone
    for owner, key in disruption_lists(site):
        for disruption in owner[key]:
            if "zone" in disruption:
                disruption["zone"] = zone


def two_instances(site):
    """Two instances with three times the processor and a third of the engines."""
    site["machines"] = site["machines"][:2]
    for row in site["machines"]:
        row.update(count=1, cpu_share=0.75)
    for service in site["services"]:
        if service.get("model") == "llm":
            for row in service["servers"]:
                row["count"] = max(1, row["count"] // 3)
    scale_traffic(site, 0.35)


def many_small_instances(site):
    """Three times the instances, each with half of the processor."""
    for row in site["machines"]:
        row.update(count=row["count"] * 3, cpu_share=row["cpu_share"] / 2)


def narrow_engines(site):
    """Twice the engines, a quarter of the slots, half of the memory each."""
    for service in site["services"]:
        if service.get("model") != "llm":
            continue
        for row in service["servers"]:
            row["count"] *= 2
        service["slots"] //= 4
        service["llm"]["batch"] //= 4
        service["llm"]["kv_tokens"] //= 2


def other_bounds(site):
    """Longer or shorter bounds, and a store that takes fewer calls."""
    site["bounds"].update(
        drain_ms=3000, config_ms=3000, touch_ms=4000, grace_s=6.0
    )
    site["timing"].update(version_ms=20000.0, version_all_ms=28000.0)
    site["discovery"].update(beat_ms=900)
    site["platform"].update(
        writes_per_s=100.0, reads_per_s=400.0, parts=1, append_ms=8.0
    )


def no_stores(site):
    """Engines without KV cache stores."""
    stores = {s["name"] for s in site["services"] if s.get("model") == "kvstore"}
    site["services"] = [s for s in site["services"] if s["name"] not in stores]
    drop_disruptions(site, lambda d: d.get("service") in stores)


def plain_services(site):
    """No engines: plain services only."""
    gone = {s["name"] for s in site["services"] if s.get("model")}
    site["services"] = [s for s in site["services"] if s["name"] not in gone]
    site["classes"] = [c for c in site["classes"] if c["service"] not in gone]
    kept = {c["name"] for c in site["classes"]}
    site["contracts"] = [
        c for c in site["contracts"] if c not in ("kvcache", "stream", "engine")
    ]
    site["models"] = []
    for traffic in traffic_lists(site):
        for row in traffic:
            row["mix"] = {k: v for k, v in row["mix"].items() if k in kept}
            row["per_s"] = round(sum(row["mix"].values()), 1)
    engine_kinds = {"version_bump", "kv_slow", "events_gap", "applied_late"}
    drop_disruptions(
        site,
        lambda d: d["kind"] in engine_kinds or d.get("service") in gone,
    )


def two_regions(site):
    """The last zone in a region of its own; two kinds of request stay in one."""
    first = site["zones"][0]["region"]
    site["zones"][-1]["region"] = "elsewhere"
    prompts = [c for c in site["classes"] if c.get("stream")]
    prompts[0]["homes"] = [first]
    plain = [c for c in site["classes"] if not c.get("stream")]
    plain[0]["homes"] = ["elsewhere"]


VARIANTS = [
    one_zone,
    two_instances,
    many_small_instances,
    narrow_engines,
    other_bounds,
    no_stores,
    plain_services,
    two_regions,
]


def main():
    source, out = map(pathlib.Path, sys.argv[1:3])
    out.mkdir(parents=True, exist_ok=True)
    site = tomllib.loads(source.read_text())
    shutil.copy(source.parent / site["wire"], out / site["wire"])
    for variant in VARIANTS:
        changed = copy.deepcopy(site)
        drop_goals(changed)
        variant(changed)
        suffix = re.sub("_", "-", variant.__name__)
        changed["name"] = f"{site['name']}-{suffix}"
        (out / f"{changed['name']}.toml").write_text(toml_text(changed))


if __name__ == "__main__":
    main()
