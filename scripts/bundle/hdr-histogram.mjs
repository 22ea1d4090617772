// Histograms without the log format, whose module takes a tenth of a process's start.
export { build } from "../../node_modules/hdr-histogram-js/dist/HistogramBuilder.js"
