#include "cornelweir/src/metrics/metrics_registry.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <utility>

#include "cornelweir/src/metrics/limits.h"

namespace cornelweir::metrics {
namespace internal {
namespace {

// Label values come from callers. Bytes outside of printable ASCII are replaced, since the format
// must be valid UTF-8.
std::string CleanLabelValue(std::string_view value) {
  std::string clean(value.substr(0, kMaxLabelBytes));
  for (char& c : clean) {
    if (c < ' ' || c > '~') c = '_';
  }
  return clean;
}

std::string Number(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  char digits[32];
  const auto [end, status] = std::to_chars(digits, digits + sizeof(digits), value);
  return std::string(digits, end);
}

std::string Escaped(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

void RenderHeader(std::string& text, const std::string& name, std::string_view help,
                  std::string_view type) {
  text += "# HELP " + name + " ";
  // In help texts only the backslash and the end of line are escaped.
  for (const char c : help) {
    if (c == '\\') text += '\\';
    text += c == '\n' ? ' ' : c;
  }
  text += "\n# TYPE " + name + " " + std::string(type) + "\n";
}

void RenderSample(std::string& text, const std::string& name, const label_list& labels,
                  const std::string& value) {
  text += name;
  for (std::size_t index = 0; index < labels.size(); ++index) {
    text += index == 0 ? "{" : ",";
    text += labels[index].name + "=\"" + Escaped(labels[index].value) + "\"";
  }
  if (!labels.empty()) text += "}";
  text += " " + value + "\n";
}

void RenderHistogram(std::string& text, const std::string& name, const label_list& labels,
                     const histogram& metric) {
  label_list with_bound = labels;
  with_bound.push_back(label{"le", ""});
  for (const auto& [bound, count] : metric.CumulativeBuckets()) {
    with_bound.back().value = Number(bound);
    RenderSample(text, name + "_bucket", with_bound, std::to_string(count));
  }
  with_bound.back().value = "+Inf";
  RenderSample(text, name + "_bucket", with_bound, std::to_string(metric.count()));
  RenderSample(text, name + "_sum", labels, Number(metric.sum()));
  RenderSample(text, name + "_count", labels, std::to_string(metric.count()));
}

// Returns the series with exactly these labels, or null. The labels of a series are clean and
// bounded, so if it exists, BoundLabels() would return the same labels.
template <class Metric>
Metric* FindSeries(std::map<label_list, Metric>& series, const label_list& labels) {
  const auto found = series.find(labels);
  return found == series.end() ? nullptr : &found->second;
}

}  // namespace
}  // namespace internal

template <class Metric>
metrics_registry::family<Metric>& metrics_registry::FamilyOf(std::string_view name,
                                                             std::string_view help) {
  auto found = families_.find(name);
  if (found == families_.end()) {
    family<Metric> created;
    created.help = std::string(help);
    found = families_.emplace(std::string(name), std::move(created)).first;
  }
  return std::get<family<Metric>>(found->second);
}

template <class Metric>
label_list metrics_registry::BoundLabels(family<Metric>& metric, const label_list& labels) {
  label_list bound = labels;
  for (label& each : bound) {
    each.value = internal::CleanLabelValue(each.value);
    std::set<std::string>& values = metric.values_by_label[each.name];
    if (values.contains(each.value)) continue;
    if (values.size() < kMaxLabelValues) {
      values.insert(each.value);
    } else {
      each.value = kOtherLabelValue;
    }
  }
  return bound;
}

counter& metrics_registry::Counter(std::string_view name, std::string_view help,
                                   const label_list& labels) {
  auto& metric = FamilyOf<counter>(name, help);
  if (counter* const known = internal::FindSeries(metric.series, labels)) return *known;
  return metric.series[BoundLabels(metric, labels)];
}

gauge& metrics_registry::Gauge(std::string_view name, std::string_view help,
                               const label_list& labels) {
  auto& metric = FamilyOf<gauge>(name, help);
  if (gauge* const known = internal::FindSeries(metric.series, labels)) return *known;
  return metric.series[BoundLabels(metric, labels)];
}

histogram& metrics_registry::Histogram(std::string_view name, std::string_view help,
                                       const label_list& labels,
                                       const std::vector<double>& upper_bounds) {
  auto& metric = FamilyOf<histogram>(name, help);
  if (histogram* const known = internal::FindSeries(metric.series, labels)) return *known;
  if (metric.upper_bounds.empty()) metric.upper_bounds = upper_bounds;
  return metric.series.try_emplace(BoundLabels(metric, labels), metric.upper_bounds).first->second;
}

void metrics_registry::RenderFamily(std::string& text, const std::string& name,
                                    const family<counter>& metric) {
  internal::RenderHeader(text, name, metric.help, "counter");
  for (const auto& [labels, series] : metric.series) {
    internal::RenderSample(text, name, labels, std::to_string(series.value()));
  }
}

void metrics_registry::RenderFamily(std::string& text, const std::string& name,
                                    const family<gauge>& metric) {
  internal::RenderHeader(text, name, metric.help, "gauge");
  for (const auto& [labels, series] : metric.series) {
    internal::RenderSample(text, name, labels, internal::Number(series.value()));
  }
}

void metrics_registry::RenderFamily(std::string& text, const std::string& name,
                                    const family<histogram>& metric) {
  internal::RenderHeader(text, name, metric.help, "histogram");
  for (const auto& [labels, series] : metric.series) {
    internal::RenderHistogram(text, name, labels, series);
  }
  const auto render_gauge = [&](const char* suffix, const char* what, auto value_of) {
    internal::RenderHeader(text, name + suffix, metric.help + what, "gauge");
    for (const auto& [labels, series] : metric.series) {
      internal::RenderSample(text, name + suffix, labels, internal::Number(value_of(series)));
    }
  };
  render_gauge("_mean", " (mean since the start)", [](const histogram& h) { return h.mean(); });
  render_gauge("_max", " (maximum since the start)", [](const histogram& h) { return h.max(); });
  render_gauge("_rolling_mean", " (mean of the latest observations)",
               [](const histogram& h) { return h.rolling_mean(); });
}

std::string metrics_registry::Render() const {
  std::string text;
  for (const auto& [name, metric] : families_) {
    std::visit([&, &n = name](const auto& each) { RenderFamily(text, n, each); }, metric);
  }
  return text;
}

}  // namespace cornelweir::metrics
